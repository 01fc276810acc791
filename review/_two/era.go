package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	stand "chivedrift/platform/stand"
)

const (
	deskService  = "desk"
	deskRoute    = "/status/"
	deskReplicas = 3
	duties       = `platform_duties:
  address: %q
  kinds: [usage]
  lease_ms: 3000
  usage_window_s: 5
  usage_delay_s: 10
`
	// awayFor is how long the store is away before it comes back from a copy.
	awayFor      = 300 * time.Millisecond
	mostWait     = 25 * time.Second
	afterRestore = 25 * time.Second
	requestEvery = 50 * time.Millisecond
	deskWait     = 1500 * time.Millisecond
)

// eraWriter states the store's era from another first one on; that of the stand-in is 1.
type eraWriter struct {
	http.ResponseWriter
	name     string
	firstEra int
	wrote    bool
}

func (e *eraWriter) WriteHeader(status int) {
	e.wrote = true
	if era, err := strconv.Atoi(e.Header().Get(e.name)); err == nil {
		e.Header().Set(e.name, strconv.Itoa(era-1+e.firstEra))
	}
	e.ResponseWriter.WriteHeader(status)
}

func (e *eraWriter) Write(data []byte) (int, error) {
	if !e.wrote {
		e.WriteHeader(http.StatusOK)
	}
	return e.ResponseWriter.Write(data)
}

// serveFromEra serves the store such that it begins with an era.
func (w *world) serveFromEra(firstEra int) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	name, handler := w.names["era"], w.store.Handler()
	server := &http.Server{ReadHeaderTimeout: startBound, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&eraWriter{ResponseWriter: rw, name: name, firstEra: firstEra}, r)
	})}
	go func() { _ = server.Serve(listener) }()
	w.storeAddress = listener.Addr().String()
	return nil
}

// recordCalls serves the platform's interface for duties at another address and records each call.
func (w *world) recordCalls(cloud *stand.Cloud) (address string, err error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: cloud.Address()})
	server := &http.Server{ReadHeaderTimeout: startBound, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.note("platform gets %s from %s under token %s: %s", r.URL.Path, r.Header.Get(w.names["holder"]), r.Header.Get(w.names["token"]), body)
		proxy.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// sendPlain sends a plain request and returns the status of the answer; 0 if there was none.
func (w *world) sendPlain(node, path, attempt string) int {
	ctx, cancel := context.WithTimeout(context.Background(), deskWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header = stand.CallerHeader(attempt, clientKey, deskWait)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// playEra has the store come back from a copy some seconds old; it begins with era 0, or with the one in FIRST_ERA.
func playEra(w *world) int {
	firstEra, err := strconv.Atoi(os.Getenv("FIRST_ERA"))
	if err != nil {
		firstEra = 0
	}
	w.store.Publish(1, []stand.Route{
		{Name: "status", Host: host, Prefix: deskRoute, Kind: w.names["kindunsafe"], Backend: deskService, TimeoutMs: 1000, TargetMs: 150},
	}, map[string][]string{clientTeam: {clientKey}})
	if err := w.serveFromEra(firstEra); err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	cloud := stand.NewCloud()
	defer cloud.Close()
	calls, err := w.recordCalls(cloud)
	if err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	w.moreSettings = fmt.Sprintf(duties, calls)
	var replicas []*stand.Replica
	for i := range deskReplicas {
		replicas = append(replicas, stand.NewReplica(w.store, fmt.Sprintf("i-d%d", i+1), deskService, "z0"))
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatEvery):
				for _, r := range replicas {
					r.WriteAgain()
				}
			}
		}
	}()
	backup, copiedAt := w.store.Copy(), time.Now()
	w.note("the copy of the store is made now")
	w.addNodes(3)
	if err := w.startAll(); err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	var sent, served atomic.Int64
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(requestEvery):
				sent.Add(1)
				node, attempt := w.nodes[i%len(w.nodes)], fmt.Sprintf("b%06d", i)
				status := w.sendPlain(node.callers, deskRoute+"x", attempt)
				w.note("client sent %s to %s and got status %d", attempt, node.name, status)
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		}
	}()
	for end := time.Now().Add(mostWait); len(cloud.Usage()) == 0 && time.Now().Before(end); time.Sleep(readyPoll) {
	}
	before := len(cloud.Usage())
	if before == 0 {
		w.say("no usage was reported")
		return caseNotRun
	}
	w.note("%d windows reported: %v", before, cloud.Usage())
	if w.trouble {
		w.store.SetDown(true)
		time.Sleep(awayFor)
		w.store.Restore(backup)
		for _, r := range replicas {
			r.WriteAgain()
		}
		w.store.SetDown(false)
		w.note("the store is back from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
	}
	time.Sleep(afterRestore)
	for _, v := range cloud.Violations() {
		w.note("VIOLATION %s", v)
	}
	w.note("windows reported: %v", cloud.Usage())
	for i, r := range replicas {
		w.note("replica i-d%d ran %d requests", i+1, len(r.Ran()))
	}
	w.say("%d requests sent, %d served, %d windows reported, %d violations: %v", sent.Load(), served.Load(), len(cloud.Usage()), len(cloud.Violations()), cloud.Violations())
	switch {
	case len(cloud.Violations()) > 0:
		return ruleBroken
	case served.Load() < sent.Load()/2:
		return caseNotRun
	}
	return ruleHeld
}
