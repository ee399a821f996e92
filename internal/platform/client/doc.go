// Package client talks to the platform: its object API with versions,
// conditional updates and watches, and its lagging list of VMs.
//
// Client is the seam behind which a binding to another platform goes. A write
// whose answer was lost returns an error for which IsUnknown is true; the
// caller then reads the object back and compares its change identity instead
// of writing again.
//
// # Usage
//
//	c := &client.Client{BaseURL: "http://127.0.0.1:7000"}
//	o, err := c.Put(ctx, client.Write{Key: key, IfVersion: 12, Body: body})
//	switch {
//	case trace.IsCompareFailed(err): // somebody else changed it first
//	case client.IsUnknown(err):      // read back
//	}
package client
