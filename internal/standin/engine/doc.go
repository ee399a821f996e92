// Package engine is the stand-in for the programs on runner VMs: a model engine
// with continuous batching, a prefix cache and fencing, or a plain service.
//
// The tokens of an answer are derived from the prompt, so that a test can tell
// whether a caller received the whole answer to its own request: Answer returns
// the expected text.
//
// # Usage
//
//	e := &engine.Engine{VM: "vm-1", Address: "127.0.1.1:9000", ChecksFencing: true}
//	go e.Run(ctx)
//	http.ListenAndServe(e.Address, e.Handler())
package engine
