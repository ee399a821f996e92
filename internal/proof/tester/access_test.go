package tester

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjorammoor/internal/gateway/responder"
)

// refused [-H HEADER]... ADDRESS PATH CREDENTIAL BODY STATUS REASON: the request
// must be refused with a status and a reason, and told that it was not run if the
// listener is the callers'. A body "huge" stands for five megabytes.
func refused(_ *cluster, args []string) error {
	headers := http.Header{}
	for args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ": ")
		headers.Set(name, value)
		args = args[2:]
	}
	address, path, credential, body := args[0], args[1], args[2], args[3]
	if body == "huge" {
		body = strings.Repeat("x", 5<<20)
	}
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header = headers
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
	}
	a, err := direct.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	wanted, err := strconv.Atoi(args[4])
	if err != nil {
		return err
	}
	outcome := a.Header.Get(responder.HeaderOutcome)
	if a.StatusCode != wanted || !strings.Contains(string(b), args[5]) || outcome != "" && outcome != string(responder.NotRun) {
		return fmt.Errorf("status %d, outcome %q: %s", a.StatusCode, outcome, b)
	}
	return nil
}

// slow_headers ADDRESS: a caller that sends its headers slowly is cut off within
// the time for headers, and does not keep others from being served.
func slowHeaders(_ *cluster, args []string) error {
	c, err := net.Dial("tcp", args[0])
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck
	if _, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\n"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	_, err = io.ReadAll(c)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return fmt.Errorf("the connection was not closed")
	}
	return nil
}
