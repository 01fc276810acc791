package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"chivedrift/chivestand"
)

// channel is one channel to a replica, with the refusals that it sent there.
type channel struct {
	net.Conn
	// copies are the answers that a faulty replica sends once more, where the next answer is expected.
	copies []string
}

// replica is a replica of a service. It runs slots requests at once, queues queueLength more and refuses others.
type replica struct {
	id, backend, zone, address string
	slots, queueLength         int
	born                       time.Time
	stand                      *stand
	listener                   net.Listener
	// answer writes the answer of a request that runs, and reports whether the channel stays open.
	answer func(r *replica, c *channel, request *http.Request) (keep bool)
	// refused is called after a refusal was sent.
	refused func(r *replica, c *channel, answer string)

	mu      sync.Mutex
	open    map[net.Conn]bool
	places  chan struct{}
	waiting int
	ran     []string
	closed  bool
}

func (s *stand) addReplica(r *replica) {
	r.stand, r.born, r.address, r.open, r.places = s, time.Now(), chivestand.FreeAddress(), make(map[net.Conn]bool), make(chan struct{}, r.slots)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		panic(err)
	}
	r.listener = listener
	s.replicas = append(s.replicas, r)
	go r.accept()
	go r.register()
}

func (r *replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.open {
		_ = c.Close()
	}
}

// register writes the replica's entry to the store at every heartbeat.
func (r *replica) register() {
	for sequence := 1; ; sequence++ {
		entry := fill(platform.Registration, "$backend", r.backend, "$address", r.address, "$zone", r.zone, "$slots", fmt.Sprint(r.slots),
			"$sequence", fmt.Sprint(sequence), "$born", r.bornMs())
		r.stand.store.Put(platform.ServersTopic, r.id, []byte(entry))
		select {
		case <-r.stand.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *replica) bornMs() string { return fmt.Sprint(r.born.UnixMilli()) }

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[conn] = true
		r.mu.Unlock()
		go func() {
			r.serve(&channel{Conn: conn})
			r.mu.Lock()
			delete(r.open, conn)
			r.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// serve answers the requests of one channel, one after the other.
func (r *replica) serve(c *channel) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.serveOne(c, request) {
			return
		}
	}
}

func (r *replica) serveOne(c *channel, request *http.Request) (keep bool) {
	expected := request.Header.Get(platform.ExpectInstance)
	switch {
	case expected != "" && expected != r.id:
		return c.send(answerText(http.StatusMisdirectedRequest, "", platform.NotExecuted, "1"))
	case request.URL.Path == platform.ReportPath:
		return c.send(answerText(http.StatusOK, fill(platform.Report, "$born", r.bornMs())))
	case request.URL.Path == platform.CacheListPath:
		return c.send(answerText(http.StatusOK, fill(platform.CacheList, "$born", r.bornMs())))
	case request.URL.Path == platform.HealthPath:
		return c.send(answerText(http.StatusOK, "", platform.Instance, r.id))
	}
	id := request.Header.Get(platform.Attempt)
	if !r.enter() {
		r.stand.record.log("replica %s refuses %s", r.id, id)
		text := answerText(http.StatusServiceUnavailable, "full\n", platform.Attempt, id, platform.NotExecuted, "1")
		keep = c.send(text)
		if r.refused != nil {
			r.refused(r, c, text)
		}
		return keep
	}
	defer r.leave()
	r.mu.Lock()
	r.ran = append(r.ran, id)
	r.mu.Unlock()
	r.stand.record.log("replica %s runs %s: %s %s", r.id, id, request.Method, request.RequestURI)
	return r.answer(r, c, request)
}

// enter waits for a place, and reports false if there is no room to wait either.
func (r *replica) enter() bool {
	select {
	case r.places <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.waiting >= r.queueLength {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.places <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	return true
}

func (r *replica) leave() { <-r.places }

// seal returns the receipt of an answer.
func (r *replica) seal(id string) string { return "seal-" + r.id + "-" + id }

func (c *channel) send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// answerText returns an answer with a length; headers are names and values in turn.
func answerText(status int, body string, headers ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&text, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return text.String() + "\r\n" + body
}

// runsOf returns the replicas that ran each attempt, in order.
func (s *stand) runsOf() map[string][]string {
	runs := make(map[string][]string)
	for _, r := range s.replicas {
		r.mu.Lock()
		for _, id := range r.ran {
			runs[id] = append(runs[id], r.id)
		}
		r.mu.Unlock()
	}
	return runs
}
