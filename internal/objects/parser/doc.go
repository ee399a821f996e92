// Package parser defines the resources that are stored in the platform, and parses
// and validates their JSON form.
//
// Operators write the kinds team, pool and deployment. The system writes the kinds
// assignment (one object per fabric domain) and claims (one object per segment of a
// claim log). Operators and the system never write the same object, so neither can
// overwrite the other's changes.
//
// # Usage
//
//	d, err := parser.Deployment(body)
//	if err != nil {
//		// err is a trace.BadParameter that names the field, its value and the
//		// expected value.
//	}
package parser
