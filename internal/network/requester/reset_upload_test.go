package requester

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// uploadEndTries is how often each end is played, as the reset and the write meet by chance.
	uploadEndTries = 20
	// uploadBytes is a size that the buffers of a connection do not hold.
	uploadBytes = 4 << 20
	// holdTime is how long a server keeps a half-closed connection that it does not read.
	holdTime = 20 * time.Millisecond
	// partOfAnswer has no length, so that it ends with its connection.
	partOfAnswer = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n\r\npart of the answer"
)

// uploadEnd is one entry of testdata/upload_ends.json: how a server that has read only the head of
// a request ends the connection after its answer.
type uploadEnd struct {
	Name string `json:"name"`
	// UploadBytes is the size of the request's body, and Answer what the server writes.
	UploadBytes int    `json:"upload_bytes"`
	Answer      string `json:"answer"`
	// End is reset, close, half_close or half_close_reset.
	End string `json:"end"`
	// WaitMS is the time in milliseconds from the answer to the end, and ReadAfterMS that from the
	// head of the answer to the first read of its body.
	WaitMS      int `json:"wait_ms"`
	ReadAfterMS int `json:"read_after_ms"`
	// ReadsOn is set if the server reads the body after its end.
	ReadsOn bool `json:"reads_on"`
	// Complete is set if the answer must count as complete. Otherwise it must not.
	Complete bool `json:"complete"`
}

// TestAnswerThatIsResetDuringTheUploadIsNotComplete guards against a reset that only the write of the
// request meets, while the read of the answer finds an end like any other.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	b, err := os.ReadFile("testdata/upload_ends.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []uploadEnd{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			complete := 0
			for range uploadEndTries {
				if x.play(t) {
					complete++
				}
			}
			want := 0
			if x.Complete {
				want = uploadEndTries
			}
			if complete != want {
				t.Errorf("%d of %d answers count as complete, want %d", complete, uploadEndTries, want)
			}
		})
	}
}

// TestAnswerThatTimesOutDuringTheUploadIsNoReset guards against a connection that times out, since its
// server reads no more, and counts as ended or as reset by the server.
func TestAnswerThatTimesOutDuringTheUploadIsNoReset(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck
		_, _ = io.WriteString(c, partOfAnswer)
		time.Sleep(closeBound)
	}()
	response, err := (&Client{}).Do(t.Context(), &Request{Method: http.MethodPost, Address: l.Addr().String(), Target: "/x", Host: "h", Body: make([]byte, uploadBytes)})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := io.ReadAll(response.Body); !errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the body ends with %v", err)
	}
}

// TestAnswerThatEndsDuringTheUploadIsServedAtOnce guards against an answer that waits for the end of an
// upload, although its server has ended its side and need not read on.
func TestAnswerThatEndsDuringTheUploadIsServedAtOnce(t *testing.T) {
	t.Parallel()
	client, server := tcpPair(t)
	served := make(chan struct{})
	go func() {
		defer server.Close() //nolint:errcheck
		_, _ = io.WriteString(server, partOfAnswer)
		_ = server.(*net.TCPConn).CloseWrite()
		select {
		case <-served:
		case <-time.After(closeBound):
			t.Error("the answer is not served while the server reads no more")
		}
	}()
	response, err := (&Client{Dial: dialOnce(client)}).Do(t.Context(), &Request{Method: http.MethodPost, Address: "x", Target: "/x", Host: "h", Body: make([]byte, uploadBytes)})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Error(err)
	}
	close(served)
}

// play sends one request and reports whether its answer counts as complete.
func (x *uploadEnd) play(t *testing.T) bool {
	t.Helper()
	client, server := tcpPair(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.answer(server.(*net.TCPConn))
	}()
	defer func() { <-ended }()
	c := &Client{Dial: dialOnce(client)}
	response, err := c.Do(t.Context(), &Request{
		Method: http.MethodPost, Address: "x", Target: "/x", Host: "h", Body: make([]byte, cmp.Or(x.UploadBytes, uploadBytes)),
		Header: http.Header{"X-Attempt": {"a1"}}, EchoHeader: "X-Attempt",
	})
	if err != nil {
		if !MaySent(err) {
			t.Errorf("the request counts as not sent: %v", err)
		}
		return false
	}
	defer response.Close()
	time.Sleep(time.Duration(x.ReadAfterMS) * time.Millisecond)
	_, err = io.ReadAll(response.Body)
	return err == nil
}

// answer reads the line of a request, answers and ends the connection.
func (x *uploadEnd) answer(c *net.TCPConn) {
	defer c.Close() //nolint:errcheck
	reader := bufio.NewReaderSize(c, 16)
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	_, _ = io.WriteString(c, cmp.Or(x.Answer, partOfAnswer))
	time.Sleep(time.Duration(x.WaitMS) * time.Millisecond)
	switch x.End {
	case "reset":
		_ = c.SetLinger(0)
	case "half_close":
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(holdTime))
		if x.ReadsOn {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		time.Sleep(holdTime)
	case "half_close_reset":
		_ = c.CloseWrite()
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	}
}
