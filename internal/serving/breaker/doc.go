// Package breaker keeps requests away from runners if they crash each runner that works on
// them. What such requests have in common is a key: a shared part of their prompts, or the
// request itself if its caller repeats it. They come at any node and end a whole fleet when
// they, or their repeats, are sent on.
//
// A runner that ends holds many requests. Only those that had sent few events yet can be
// the cause, and a key is innocent as soon as any request with it has sent several
// events. So the nodes tell each other, for each runner that has ended, the keys
// of its requests without events, and which of these keys have proved sound. A key
// under which several runners have ended since it last proved sound is blocked. The ends
// that it explains no longer count against other keys. Of keys with as many ends, the one
// that the fewest sound requests have is blocked, which is the request itself.
//
// It does not matter who ended the attempt. A request that the runner neither refused nor
// answered is kept for a while after it, and counts if the runner ends meanwhile. When many
// runners fail together they all have such requests, so that this evidence counts once for each
// time at which runners end.
//
// Keys are hashes. What is kept and told is bounded; what is dropped is counted and logged.
//
// Blocked requests are refused as not run, and those to which no runner has begun a response
// yet are cancelled. When the block is over, one node tries one request. If its runner
// ends too, the key is blocked again, for twice as long.
//
// # Usage
//
//	b := &breaker.Breaker{HasEnded: hasEnded, Log: log}
//	go repeater.Every(ctx, breaker.JudgeInterval, b.Judge)
//	call, err := b.Admit(breaker.Request{Parts: slices.Values(ids), Fingerprint: fingerprint}, cancel)
//	if err != nil {
//		// A *BlockedError; the request must not be sent.
//	}
//	defer call.Done()
//	err = call.Start(breaker.Runner{ID: id, Address: address}) // before each send
//	call.RecordResponse()
//	call.RecordEvents(1)
//	call.Complete() // or Break if the runner closed the connection, or Settle if it refused
//	call.End()      // after each attempt
package breaker
