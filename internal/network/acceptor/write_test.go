package acceptor

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// testStallTime is that of a test's listener, and slowPause the pause of a slow reader after each
	// slowPiece.
	testStallTime = 300 * time.Millisecond
	slowPause     = 20 * time.Millisecond
	slowPiece     = 256 << 10
	// answerBytes is more than the buffers on the way hold.
	answerBytes = 32 << 20
	writeBound  = 30 * time.Second
)

// TestAnswerThatNobodyReadsEnds guards against answers that are kept for ever, and against slow
// readers that lose theirs.
func TestAnswerThatNobodyReadsEnds(t *testing.T) {
	t.Parallel()
	for _, reads := range []bool{false, true} {
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := &Listener{Listener: inner, WriteStallTime: testStallTime}
		caller := dial(t, inner.Addr().String(), "127.0.0.1")
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if reads {
			go readSlowly(caller)
		}
		ended := make(chan error, 1)
		started := time.Now()
		go func() {
			_, err := nc.Write(make([]byte, answerBytes))
			ended <- err
		}()
		select {
		case err := <-ended:
			if reads != (err == nil) || !reads && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("reads: %t, the answer ends with %v", reads, err)
			}
			if reads && time.Since(started) < 2*testStallTime {
				t.Errorf("the slow reader has taken only %s, which shows nothing", time.Since(started))
			}
		case <-time.After(writeBound):
			t.Errorf("reads: %t, the answer does not end", reads)
		}
		_ = caller.Close()
		_ = nc.Close()
		_ = inner.Close()
	}
}

func readSlowly(c net.Conn) {
	for {
		if _, err := io.ReadFull(c, make([]byte, slowPiece)); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}
