package acceptor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// crowd is one entry of testdata/crowds.json: connections in the order in which they come, and what
// becomes of them once the newest one comes.
type crowd struct {
	Name   string   `json:"name"`
	Max    int      `json:"max"`
	Before []string `json:"before"`
	After  []string `json:"after"`
	Newest string   `json:"newest"`
}

// pair is a connection with its caller's end.
type pair struct {
	caller net.Conn
	conn   *Conn
}

// TestConnectionsGiveWayInOrder guards against a node whose sound callers are cut off, or that
// takes no new ones, since others keep connections open.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	b, err := os.ReadFile("testdata/crowds.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []crowd{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *crowd) check(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close() //nolint:errcheck
	l := &Listener{Listener: inner, Max: func() int { return 1 << 20 }}
	pairs := []pair{}
	for _, how := range x.Before {
		pairs = append(pairs, l.connect(t, how))
	}
	l.Max = func() int { return x.Max }
	newest := dial(t, inner.Addr().String(), "127.0.0.1")
	defer newest.Close() //nolint:errcheck
	accepted := make(chan *Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c.(*Conn)
		}
	}()
	state := "closed"
	if _, err := newest.Write([]byte("x")); err == nil {
		_ = newest.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := newest.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			state = "open"
			defer (<-accepted).Close() //nolint:errcheck
		}
	}
	if state != x.Newest {
		t.Errorf("the newest connection is %s, wanted %s", state, x.Newest)
	}
	for i, p := range pairs {
		if got := p.state(); got != x.After[i] {
			t.Errorf("connection %d, %s, is %s, wanted %s", i, x.Before[i], got, x.After[i])
		}
		_ = p.conn.Close()
		_ = p.caller.Close()
	}
	if l.giving.Load() != 0 {
		t.Errorf("%d connections count as giving way once all are closed", l.giving.Load())
	}
}

// state returns what became of a connection.
func (p *pair) state() string {
	if !p.conn.IsGiving() {
		return "open"
	}
	// What the caller sends then is not read any more.
	_, _ = p.caller.Write([]byte("late"))
	_ = p.conn.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := p.conn.Read(make([]byte, 1)); !errors.Is(err, ErrGaveWay) || p.conn.Serve() {
		return fmt.Sprintf("read after it gave way (%v)", err)
	}
	return "gave way"
}

// connect opens a connection that is idle, serves, or has sent a part of a request and goes on
// with it or not.
func (l *Listener) connect(t *testing.T, how string) pair {
	t.Helper()
	how, host, ok := strings.Cut(how, " from ")
	if !ok {
		host = "127.0.0.1"
	}
	p := pair{caller: dial(t, l.Addr().String(), host)}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p.conn = nc.(*Conn)
	word, size := how, 0
	_, _ = fmt.Sscanf(how, "%s %d", &word, &size)
	if size > 0 {
		if _, err := p.caller.Write(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(p.conn, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
	}
	switch word {
	case "stalled":
		p.conn.progressAt = time.Now().Add(-stallTime)
	case "serving":
		p.conn.Serve()
	}
	return p
}

func dial(t *testing.T, address, host string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := d.DialContext(t.Context(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
