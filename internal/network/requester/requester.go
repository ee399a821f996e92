package requester

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/network/detector"
	"marjorammoor/internal/network/observer"
)

const (
	// DefaultDialTimeout limits the time to open a connection. A lost SYN packet is
	// sent again only after a second, which is too late for most requests.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept, unless the server
	// announces a shorter time in a Keep-Alive header.
	DefaultIdleTimeout = 20 * time.Second
	// keepAliveMargin is subtracted from the server's idle timeout, so that no request
	// is sent while the server closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// missedDialTime is how long an attempt to connect that is given up must have lasted to
	// count as failed.
	missedDialTime = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 3 * time.Second
	// maxResponses is the maximum number of responses that are read for one request,
	// interim responses and responses to other attempts included.
	maxResponses = 4
	// concurrentBodyBytes is the size from which a body is written while the response is
	// read, because a server may answer before it has read the body.
	concurrentBodyBytes = 64 << 10
	bufferSize          = 4 << 10
	// maxHeaderBytes is the maximum size of the header of a response. A faulty server
	// may send bytes without end.
	maxHeaderBytes = 64 << 10
	// maxSkippedBytes is the maximum size of a body that is read only to keep its
	// connection, and skipTime how long SkipBody waits for it.
	maxSkippedBytes = 256 << 10
	skipTime        = 20 * time.Millisecond
)

var (
	connectionsOpened = metrics.NewCounter(`marjorammoor_connections_opened_total`)
	connectionsReused = metrics.NewCounter(`marjorammoor_connections_reused_total`)
	answersSkipped    = metrics.NewCounter(`marjorammoor_answers_skipped_total{reason="other_attempt"}`)
)

// errHeaderTooLarge is returned when the header of a response does not end.
var errHeaderTooLarge = errors.New("the header of the answer is too large")

// errBodyTooLarge is returned when a body that is skipped does not end.
var errBodyTooLarge = errors.New("the body of the answer is too large to skip")

// ErrOtherAttempt is returned when the server sent only responses to other attempts.
var ErrOtherAttempt = errors.New("the answer belongs to another attempt")

// Request is a request to send.
type Request struct {
	Method string
	// Address is where the request is sent, as ip:port.
	Address string
	// Target is the path with the query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader is the name of a header whose value the server repeats in its response.
	// A response with another value is skipped, and one without it unless it is the first on
	// its connection. A request without the header gets no response that has it. If empty, no
	// value is compared.
	EchoHeader string
	// NewConnection forbids the use of an idle connection.
	NewConnection bool
}

// echo returns the value that the response to the request must repeat, or "".
func (r *Request) echo() string {
	if r.EchoHeader == "" {
		return ""
	}
	return r.Header.Get(r.EchoHeader)
}

// Error is the failure of a request that got no response.
type Error struct {
	// Sent reports whether a byte of the request may have reached the server.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("request failed, sent=%t: %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaySent reports whether a request that failed with err may have reached the
// server.
func MaySent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Client sends requests and reuses idle connections. The zero value is ready to use.
type Client struct {
	// DialTimeout limits the time to open a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// LocalIP is the address that connections are opened from; nil means any.
	LocalIP net.IP
	// Observer, if set, records which servers answer.
	Observer *observer.Observer
	// Dial opens connections; nil means TCP over IPv4 with DialTimeout and a timeout for
	// unacknowledged bytes.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	pool pool
}

// Response is a server's response. Call Close when it is no longer used.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the response is complete, or if it EndsWithConnection
	// and the server has closed that. A connection that broke off is an error.
	Body io.Reader
	// EndsWithConnection is set if the response has neither a length nor chunks, so that
	// its end cannot be told from a closed connection.
	EndsWithConnection bool
	// IsNamed is set if the response repeats the value of Request.EchoHeader, and IsFirst if it
	// is to the first request on its connection.
	IsNamed, IsFirst bool
	// Length is the announced length of the body in bytes, or -1 if there is none.
	Length int64

	response *http.Response
	conn     *conn
	client   *Client
	// cancelled returns the error of the request's context once that has ended.
	cancelled func() error
	// stop detaches the connection from the request's context, and reports false if the
	// context has already closed it.
	stop func() bool
	once sync.Once
	// complete is set once the body was read to its end.
	complete bool
	// mayKeep reports whether the request was written and the connection may stay open
	// for idleTimeout.
	mayKeep     bool
	idleTimeout time.Duration
}

// Do sends a request and returns the response as soon as its header has been read.
// When ctx ends, the connection is closed, even while the body is read. The error is
// always an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	cn.path.Begin()
	response, err := c.exchange(ctx, cn, r)
	if err != nil {
		cn.path.End()
		if ctx.Err() == nil {
			cn.path.Doubt()
		}
		return nil, err
	}
	return response, nil
}

// exchange sends a request on a connection and reads the header of the response.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, cn.abort)
	written := make(chan error, 1)
	isConcurrent := len(r.Body) >= concurrentBodyBytes
	if isConcurrent {
		go func() { written <- cn.write(r) }()
	} else {
		err := cn.write(r)
		written <- err
		if err != nil {
			stop()
			cn.abort()
			return nil, &Error{Sent: cn.written, Err: fmt.Errorf("write request: %w", err)}
		}
	}
	response, err := cn.readHeader(r)
	if err != nil {
		stop()
		cn.abort()
		return nil, &Error{Sent: true, Err: fmt.Errorf("read answer: %w", err)}
	}
	if cn.isNew {
		cn.path.Open()
	}
	a := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, response: response, conn: cn, client: c, cancelled: ctx.Err, stop: stop}
	a.IsNamed, a.IsFirst = cn.isNamed, cn.isNew
	a.EndsWithConnection = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	a.idleTimeout = a.maxIdleTime()
	a.mayKeep = a.idleTimeout > 0
	select {
	case err := <-written:
		a.mayKeep = a.mayKeep && err == nil
	default:
		a.mayKeep = false
	}
	a.Body = &body{answer: a}
	return a, nil
}

// Close returns the connection to the pool if the body was read to its end, ctx has
// not ended and the server keeps the connection open. Otherwise it closes the
// connection.
func (a *Response) Close() {
	a.once.Do(func() {
		a.conn.path.End()
		isOpen := a.stop()
		if !isOpen || !a.complete || !a.mayKeep || a.conn.hasUnread() {
			a.conn.abort()
			return
		}
		a.conn.expires = time.Now().Add(a.idleTimeout)
		a.client.pool.put(a.conn)
	})
}

// Address returns the address of the server.
func (a *Response) Address() string { return a.conn.address }

// Abort closes the connection, so that reading the body fails at once.
func (a *Response) Abort() { a.conn.abort() }

// SkipBody reads a body that nobody needs, so that the connection can be kept. If it does not end
// soon, the connection is closed instead.
func (a *Response) SkipBody() {
	if a.conn.SetReadDeadline(time.Now().Add(skipTime)) != nil {
		return
	}
	if skipBody(a.response.Body) != nil {
		a.Abort()
		return
	}
	a.complete = a.conn.SetReadDeadline(time.Time{}) == nil
}

// maxIdleTime returns how long the connection may stay idle after the response, or at
// most 0 if it must be closed.
func (a *Response) maxIdleTime() time.Duration {
	if a.response.Close || a.EndsWithConnection {
		return 0
	}
	seconds, ok := keepAliveTimeout(a.Header.Get("Keep-Alive"))
	if !ok {
		return DefaultIdleTimeout
	}
	return min(time.Duration(seconds)*time.Second-keepAliveMargin, DefaultIdleTimeout)
}

// body reads the body of a response and marks the response complete at its end.
type body struct{ answer *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.answer.response.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.answer.complete = true
	case errors.Is(err, net.ErrClosed):
		// This process has closed the connection, which tells nothing of the server.
	case err != nil && b.answer.cancelled() == nil:
		b.answer.conn.path.Doubt()
	}
	return n, err
}

// connection returns an idle connection or opens one.
func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	if !r.NewConnection {
		if cn := c.pool.get(r.Address, r.echo()); cn != nil {
			connectionsReused.Inc()
			return cn, nil
		}
	}
	dial := c.Dial
	if dial == nil {
		dial = c.dialTCP
	}
	path := c.Observer.Path(r.Address)
	started := time.Now()
	nc, err := dial(ctx, r.Address)
	if err != nil {
		if ctx.Err() == nil || time.Since(started) >= missedDialTime {
			path.Miss(started)
		}
		return nil, fmt.Errorf("open connection: %w", err)
	}
	connectionsOpened.Inc()
	dc := detector.New(nc)
	limit := &limitedReader{reader: dc, path: path}
	return &conn{Conn: dc, path: path, isNew: true, address: r.Address, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize)}, nil
}

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, unackedTimeout)
	}}
	if c.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.LocalIP}
	}
	return d.DialContext(ctx, "tcp4", address)
}
