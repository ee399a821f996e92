// Package client is an HTTP client of the platform. The platform stores versioned
// objects with conditional writes and watches, and serves a list of VMs that lags
// behind the actual state.
//
// Only this package depends on the platform's API, so support for another platform
// replaces Client. Budget limits the rate of the calls that a node makes.
//
// A write whose response is lost returns an error for which IsUnknown is true. The
// caller then reads the object back and compares its ChangeID instead of repeating
// the write.
//
// # Usage
//
//	c := &client.Client{BaseURL: "http://127.0.0.1:7000"}
//	o, err := c.Put(ctx, client.ClassOperator, client.Write{Key: key, IfVersion: 12, Body: body})
//	switch {
//	case trace.IsCompareFailed(err): // the stored version is not 12
//	case client.IsUnknown(err):      // read the object back
//	}
package client
