// Package engine simulates the program on a runner VM: a model engine with
// continuous batching, a prefix cache and epoch fencing, or a plain HTTP service.
//
// The tokens of a completion are derived from the prompt, so that a test can check
// that a caller received the complete response to its own request: CompletionText
// returns the expected text.
//
// # Usage
//
//	e := &engine.Engine{VM: "vm-1", Address: "127.0.1.1:9000", ChecksFencing: true}
//	go e.Run(ctx)
//	http.ListenAndServe(e.Address, e.Handler())
package engine
