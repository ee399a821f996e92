// Package reserver bounds the memory that a process uses for bodies of requests and
// responses, over all of them together.
//
// Each body is read under a reservation, which grows with it. Once half of the memory is used,
// bodies wait until others have been passed on, and what is free goes to the oldest one. Those of
// senders that have lately sent a body without end give way at once. If a body has waited for a
// while and nothing is free, the newest one of the sender that holds most gives way too. A body
// that has arrived whole does not give way.
//
// Bodies of requests don't wait for each other, since their senders can send them again: one that
// has stalled gives way, or the one that holds more than its share (Take). Of heads the largest
// gives way (Insist).
//
// # Usage
//
//	r := &reserver.Reserver{Limit: func() int64 { return 64 << 20 }}
//	h := r.Reserve("sender", closeConnection)
//	defer h.Release()
//	pieces, err := h.ReadAll(ctx, body, length, maxBytes)
package reserver
