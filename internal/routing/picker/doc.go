// Package picker chooses the replica that gets a request.
//
// Requests with the same prompt prefix go to the same replica, so that its
// prefix cache serves them, unless it has clearly more work than the others;
// then the next on the hash ring takes them. Requests without a prefix, or whose
// neighbourhood on the ring is full, go to the less loaded of two replicas
// drawn at random. A choice costs the same at any number of replicas and does
// not allocate.
//
// Load is what the replica last reported, corrected by what this node sent and
// finished since. Only replicas with a proof that they are whole are chosen.
//
// # Usage
//
//	p := &picker.Picker{}
//	p.Replace([]*picker.Replica{...})
//	r, err := p.Pick(picker.Request{PrefixHash: h, HasPrefix: true})
//	if err == nil {
//		defer r.Release()
//	}
package picker
