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

// refused [-H HEADER]... ADDRESS PATH CREDENTIAL BODY STATUS REASON: sends a request
// and checks that the response has the status, that its body contains the reason,
// and that its outcome header, which only the listener for callers sends, is
// "not_run". The body "huge" stands for 5 MiB; without a body the method is GET.
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
	resp, err := directClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	wanted, err := strconv.Atoi(args[4])
	if err != nil {
		return err
	}
	outcome := resp.Header.Get(responder.HeaderOutcome)
	if resp.StatusCode != wanted || !strings.Contains(string(b), args[5]) || outcome != "" && outcome != string(responder.NotRun) {
		return fmt.Errorf("status %d, outcome %q: %s", resp.StatusCode, outcome, b)
	}
	return nil
}

// slow_headers ADDRESS: sends an incomplete request header and checks that the
// listener closes the connection within 10 s, because callers that send their headers
// slowly must not hold connections that others need.
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
		return fmt.Errorf("the connection with an incomplete header was not closed")
	}
	return nil
}
