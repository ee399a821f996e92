// Package parser defines the resources that operators declare and that the
// system keeps for itself, and turns their JSON form into checked structs.
//
// Operators own the kinds team, pool and deployment. The system owns the kinds
// assignment (one object per fabric domain) and claims (one object per segment
// of a claim log). An operator's object and the system's object never share
// fields, so neither can overwrite the other's edits.
//
// # Usage
//
//	d, err := parser.Deployment(body)
//	if err != nil {
//		// err names the field, its value and what was expected, and is a
//		// trace.BadParameter.
//	}
package parser
