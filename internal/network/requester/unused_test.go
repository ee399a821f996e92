package requester

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// closeBound ends a test whose connection is not closed.
const closeBound = 15 * time.Second

// TestConnectionsToServersThatLeftAreClosed guards against a process that runs out of descriptors,
// since idle connections are looked at only when another request is sent to their address.
func TestConnectionsToServersThatLeftAreClosed(t *testing.T) {
	t.Parallel()
	c := &Client{}
	servers := map[string]*httptest.Server{}
	open := map[string]*atomic.Int64{}
	for name, keepAlive := range map[string]string{"used": "timeout=60", "left": "timeout=60", "expired": "timeout=2"} {
		count := &atomic.Int64{}
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Keep-Alive", keepAlive)
			_, _ = io.WriteString(w, "answer")
		}))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				count.Add(1)
			case http.StateClosed:
				count.Add(-1)
			}
		}
		s.Start()
		defer s.Close()
		servers[name], open[name] = s, count
		exchangeOnce(t, c, s.Listener.Addr().String())
	}
	isUsed := func(address string) bool { return address != servers["left"].Listener.Addr().String() }
	for until := time.Now().Add(closeBound); time.Now().Before(until) && open["left"].Load()+open["expired"].Load() > 0; {
		c.CloseUnused(isUsed)
		time.Sleep(10 * time.Millisecond)
	}
	for name, want := range map[string]int64{"used": 1, "left": 0, "expired": 0} {
		if n := open[name].Load(); n != want {
			t.Errorf("%d connections to the server that is %s are open, wanted %d", n, name, want)
		}
	}
	if !c.HasIdle(servers["used"].Listener.Addr().String()) {
		t.Error("the connection that is used is not kept")
	}
}

func exchangeOnce(t *testing.T, c *Client, address string) {
	t.Helper()
	response, err := c.Do(t.Context(), &Request{Method: http.MethodGet, Address: address, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
}
