package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	clientCount   = 48
	clientPause   = 200 * time.Millisecond
	clientTimeout = 8 * time.Second
)

// clients send requests to the entry VMs, each one after the other.
type clients struct {
	world *world
	wg    sync.WaitGroup
	end   context.CancelFunc

	mu           sync.Mutex
	sent, served int
}

func (c *clients) start() {
	ctx, end := context.WithCancel(context.Background())
	c.end = end
	for i := range clientCount {
		c.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; ctx.Err() == nil; n++ {
				c.send(client, i, n)
				time.Sleep(clientPause)
			}
		})
	}
}

func (c *clients) stop() {
	c.end()
	c.wg.Wait()
}

// counts returns the numbers of requests served and sent.
func (c *clients) counts() (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served, c.sent
}

// send sends one request and reads the answer.
func (c *clients) send(client *http.Client, i, n int) {
	ctx, stop := context.WithTimeout(context.Background(), clientTimeout)
	defer stop()
	id := fmt.Sprintf("a%02d-%04d", i, n)
	url := fmt.Sprintf("http://%s:8227%s%s", c.world.nodeIP(i%(len(zones)*nodesPerZone)), pathPrefix, "letter")
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("dues")))
	if err != nil {
		c.world.record.write("request %s: %v", id, err)
		return
	}
	q.Host = hostName
	for k, v := range map[string]string{
		attemptHeader: id, "Authorization": "Bearer " + apiKey, "Marjorammoor-Deadline-Ms": "8000", "Marjorammoor-Model-Id": modelName,
		"Marjorammoor-Token-Usage": "1460,80", "Marjorammoor-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:660", 1000+i*10000+n),
	} {
		q.Header.Set(k, v)
	}
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	c.world.record.write("sent %s", id)
	response, err := client.Do(q)
	if err != nil {
		c.world.record.write("answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(response.Body)
	isWhole := err == nil && bytes.Contains(b, fmt.Appendf(nil, "id: %d\n", eventsPerAnswer))
	c.world.record.write("answer to %s: %d, %d bytes, whole %t", id, response.StatusCode, len(b), isWhole)
	if isWhole && response.StatusCode == http.StatusOK {
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
	}
}
