package requester

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"marjorammoor/internal/network/detector"
	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/network/validator"
)

const (
	// headSize is the usual size of the head of a request in bytes.
	headSize = 512
	// maxCopiedBytes is the size up to which a body is copied behind its head.
	maxCopiedBytes = 16 << 10
)

// conn is a connection to a server.
type conn struct {
	*detector.Conn
	address string
	path    *observer.Path
	// isNew is set until the connection is used again.
	isNew  bool
	reader *bufio.Reader
	// limit bounds what the reader takes from the connection.
	limit *limitedReader
	// written reports whether a byte of the current request was written.
	written bool
	// lastEcho is the value of Request.EchoHeader of the current or last request.
	lastEcho string
	// isNamed reports whether the response to the current request names it.
	isNamed bool
	// expires is when the idle connection may no longer be used.
	expires time.Time
	closing sync.Once
}

// limitedReader fails once more than remaining bytes have been read.
type limitedReader struct {
	reader    io.Reader
	remaining int64
	path      *observer.Path
	// unread is returned once more, without regard to remaining.
	unread []byte
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if len(l.unread) > 0 {
		n := copy(p, l.unread)
		if l.unread = l.unread[n:]; len(l.unread) == 0 {
			l.unread = nil
		}
		return n, nil
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	if n > 0 {
		l.path.Read()
	}
	return n, err
}

// abort closes the connection. It may be called more than once and from
// another goroutine.
func (c *conn) abort() {
	c.closing.Do(func() { _ = c.Conn.Close() })
}

func (c *conn) write(r *Request) error {
	isLarge := len(r.Body) > maxCopiedBytes
	size := headSize
	if !isLarge {
		size += len(r.Body)
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for k, values := range r.Header {
		for _, v := range values {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if isLarge {
		n, err := c.WriteBuffers(net.Buffers{b, r.Body})
		c.written = n > 0
		return err
	}
	b = append(b, r.Body...)
	n, err := c.Write(b)
	c.written = n > 0
	return err
}

// checkHead reads the head of the next response and checks it. The reader then returns it once more.
func (c *conn) checkHead() error {
	read, begin, head := make([]byte, 0, headSize), 0, validator.Head{}
	for !head.IsComplete() {
		b, err := c.reader.ReadSlice('\n')
		read = append(read, b...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return fmt.Errorf("read head: %w", err)
		}
		if err := head.Add(read[begin:]); err != nil {
			return fmt.Errorf("check head: %w", err)
		}
		begin = len(read)
	}
	ahead, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return fmt.Errorf("read behind the head: %w", err)
	}
	c.limit.unread = append(append(read, ahead...), c.limit.unread...)
	c.reader.Reset(c.limit)
	return nil
}

// hasUnread reports whether bytes have arrived that are not read.
func (c *conn) hasUnread() bool { return c.reader.Buffered()+len(c.limit.unread) > 0 }

// readHeader reads responses until one is final and belongs to the request. It returns
// the response with its body unread.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	want := r.echo()
	c.lastEcho = want
	// On a connection that has had requests before, a response that names no attempt may
	// belong to any of them.
	mayBeUnnamed := c.isNew
	for range maxResponses {
		c.limit.remaining = maxHeaderBytes
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		c.limit.remaining = math.MaxInt64
		if response.StatusCode < http.StatusOK {
			continue
		}
		got := ""
		if r.EchoHeader != "" {
			got = response.Header.Get(r.EchoHeader)
		}
		if got == want || got == "" && mayBeUnnamed {
			c.isNamed = want != "" && got == want
			return response, nil
		}
		mayBeUnnamed = false
		answersSkipped.Inc()
		if err := skipBody(response.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrOtherAttempt, err)
		}
	}
	return nil, ErrOtherAttempt
}

// skipBody reads a body that nobody needs to its end.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	if err != nil {
		return fmt.Errorf("skip body: %w", err)
	}
	if n == maxSkippedBytes {
		return errBodyTooLarge
	}
	return nil
}
