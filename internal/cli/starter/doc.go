// Package starter is the command line of the stand-ins that replace the systems around
// marjorammoor in tests and experiments: the platform, a runner VM (model engine or
// plain service), and a load generator.
//
// # Usage
//
//	os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
package starter
