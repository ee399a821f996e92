package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// link is a proxy of the TCP connections of one machine to the store.
type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection through a link: the machine's side and the store's.
type pair struct {
	near, far net.Conn
	isSilent  atomic.Bool
}

// newLink listens at a free port for connections to target.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for connections to the store: %w", err)
	}
	k := &link{target: target, listener: l, pairs: map[*pair]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", k.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		k.mu.Lock()
		k.pairs[p] = true
		k.mu.Unlock()
		go k.passOut(p)
		go p.passIn()
	}
}

// passOut passes the bytes of the machine on until it ends the connection.
func (k *link) passOut(p *pair) {
	p.pass(p.far, p.near)
	_, _ = p.near.Close(), p.far.Close()
	k.mu.Lock()
	delete(k.pairs, p)
	k.mu.Unlock()
}

// passIn passes the bytes of the store on until it ends the connection. The machine does not learn
// of the end of a silent one.
func (p *pair) passIn() {
	p.pass(p.near, p.far)
	if !p.isSilent.Load() {
		_ = p.near.Close()
	}
}

// pass passes bytes on until one side ends. Those of a silent connection are lost.
func (p *pair) pass(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.isSilent.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good, without a reset, and returns their number.
// New ones work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for p := range k.pairs {
		if !p.isSilent.Swap(true) {
			n++
		}
	}
	return n
}
