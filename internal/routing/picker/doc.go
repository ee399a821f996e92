// Package picker chooses the replica that gets a request.
//
// Requests with the same prompt prefix go to the same replica, so that its
// prefix cache serves them. If that replica is clearly above the mean load, the
// next replica on the consistent-hash ring gets the request. A request without a
// prefix, or with no usable replica in the ring points that are examined, goes to
// the less loaded of two replicas drawn at random. A choice costs nearly the same
// at any number of replicas, unless most are full or not healthy and all must be
// scanned. It does not allocate.
//
// A replica's load is its last report, corrected by the requests that this node
// has sent and finished since. Only healthy replicas are chosen: those whose
// members are all confirmed to serve the replica (see package verifier), until
// that confirmation expires.
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
