package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	id     string
	status int
	seal   string
	body   string
	// err is nil for a whole answer.
	err error
}

// client sends one request at a time to one node, on a kept channel.
type client struct {
	stand  *stand
	node   string
	conn   net.Conn
	reader *bufio.Reader

	mu    sync.Mutex
	calls []call
}

var attempts atomic.Int64

func (s *stand) newClient(node int) *client { return &client{stand: s, node: s.frontend(node)} }

// send sends one attempt and waits for its answer. Headers are names and values in turn.
func (c *client) send(path, body string, limit time.Duration, headers ...string) call {
	result := call{id: fmt.Sprintf("%016x", attempts.Add(1))}
	c.stand.record.log("client sends %s to %s: POST %s", result.id, c.node, path)
	keep := false
	keep, result.err = c.exchange(&result, path, body, limit, headers)
	if !keep && c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.stand.record.log("client got %s: status %d, %d bytes, error %v", result.id, result.status, len(result.body), result.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
	return result
}

// exchange sends an attempt and reads its answer; keep reports whether the channel can carry another request.
func (c *client) exchange(result *call, path, body string, limit time.Duration, headers []string) (keep bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.node, time.Second); err != nil {
			return false, fmt.Errorf("connect: %w", err)
		}
		c.reader = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return false, fmt.Errorf("time limit: %w", err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, host, len(body))
	headers = append([]string{platform.Attempt, result.id, platform.Deadline, fmt.Sprint(limit.Milliseconds()), platform.Key, teamKey}, headers...)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&text, "%s: %s\r\n", headers[i], headers[i+1])
	}
	text.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return false, fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, fmt.Errorf("answer: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	result.status, result.seal, result.body = response.StatusCode, response.Header.Get(platform.Seal), string(data)
	if err != nil {
		return false, fmt.Errorf("body: %w", err)
	}
	return !response.Close, nil
}

// together runs f for each client at the same time and waits for all.
func together(clients []*client, f func(i int, c *client)) {
	var group sync.WaitGroup
	for i, c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			f(i, c)
		}()
	}
	group.Wait()
}

// calls returns all calls of some clients.
func calls(clients []*client) (all []call) {
	for _, c := range clients {
		all = append(all, c.calls...)
	}
	return all
}
