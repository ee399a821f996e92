package dialer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// uploadEndTries is how often each end is played, as the reset and the write meet by chance.
	uploadEndTries = 30
	// uploadBytes is a size that the buffers of a connection do not hold.
	uploadBytes = 4 << 20
)

// TestAnswerThatIsResetDuringTheUploadIsNotComplete guards against the same as the test of this name
// in network/requester, for all that use an http.Client.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, x := range []struct {
		name     string
		end      func(c *net.TCPConn, r *bufio.Reader)
		complete int
	}{
		{"reset at once", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, 0},
		{"reset after 1 ms", func(c *net.TCPConn, _ *bufio.Reader) { time.Sleep(time.Millisecond); _ = c.SetLinger(0) }, 0},
		{"closed with unread bytes", func(*net.TCPConn, *bufio.Reader) {}, 0},
		{"FIN, reads on", func(c *net.TCPConn, r *bufio.Reader) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, r) }, uploadEndTries},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close() //nolint:errcheck
			go answerEarly(l, x.end)
			client := (&Dialer{Count: func(int, int) {}}).HTTPClient(-1)
			complete := 0
			for range uploadEndTries {
				if isComplete(t, client, "http://"+l.Addr().String()) {
					complete++
				}
			}
			if complete != x.complete {
				t.Errorf("%d of %d answers count as complete, want %d", complete, uploadEndTries, x.complete)
			}
		})
	}
}

// answerEarly answers each request once its line has arrived, and ends the connection.
func answerEarly(l net.Listener, end func(c *net.TCPConn, r *bufio.Reader)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close() //nolint:errcheck
			r := bufio.NewReaderSize(c, 16)
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
			end(c.(*net.TCPConn), r)
		}()
	}
}

// isComplete uploads a body and reports whether the answer counts as complete.
func isComplete(t *testing.T, client *http.Client, url string) bool {
	t.Helper()
	response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck
	_, err = io.ReadAll(response.Body)
	return err == nil
}
