// Package starter is the command line of the stand-ins: the platform, a runner
// VM (model engine or plain service), and the load tool.
//
// # Usage
//
//	os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
package starter
