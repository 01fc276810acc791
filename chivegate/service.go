package chivegate

import (
	"io"
	"net/http"

	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
)

// ownHeaders end at the router: the caller's key and the router's own fields, and the length, which net/http sets anew.
var ownHeaders = []string{"Authorization", HeaderClass, HeaderTimeout, "Content-Length"}

// dropHeaders removes what is not passed on.
func dropHeaders(header http.Header) {
	chiveentry.DropConnectionFields(header)
	for _, name := range ownHeaders {
		header.Del(name)
	}
}

// serveService takes a request to a plain service from its checks to its outcome.
func (g *Gate) serveService(w http.ResponseWriter, r *http.Request) {
	a, leave, ok := g.enter(w, r)
	if !ok {
		return
	}
	defer leave()
	work, err := g.serviceWork(a, r)
	if err != nil {
		g.refuse(w, r, a, err)
		return
	}
	claimClass := *work.Class
	claimClass.Repeatable = work.Repeatable
	claim, settled := g.claim(w, r, a, work.Pool, &claimClass)
	if settled {
		return
	}
	result, answer := g.o.Services.Run(r.Context(), work)
	x := g.explanation(a, work.Pool, work.Class, result)
	x.FirstTokenMs = x.TookMs
	contentType := ""
	if answer != nil {
		contentType = answer.Header.Get("Content-Type")
		if answer.Rest == nil {
			result.Body = answer.Body
		} else {
			contentType = ""
		}
	}
	g.close(x, work.Class, claim, result, contentType)
	g.respond(w, a, result, answer)
}

func (g *Gate) serviceWork(a *admission, r *http.Request) (*chivedispatch.ServiceWork, error) {
	name, path := servicePath(r.URL.EscapedPath())
	pool, err := a.pool(name, chiveconfig.KindService, "service_not_found")
	if err != nil {
		return nil, err
	}
	class, err := classOf(a.config, pool, r.Header)
	if err != nil {
		return nil, err
	}
	a.bound(class)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	dropHeaders(header)
	reading := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	return &chivedispatch.ServiceWork{
		ID: a.id, Pool: pool.Name, Class: class, Team: a.team, Method: r.Method, Path: path, Header: header, Body: a.body, Content: a.content,
		Arrival: a.arrival, Deadline: a.deadline, Repeatable: reading || class.Repeatable,
	}, nil
}

func (g *Gate) respond(w http.ResponseWriter, a *admission, result chivedispatch.Result, answer *chivedispatch.ServiceAnswer) {
	if answer == nil {
		fromResult(result).write(w, a.id)
		return
	}
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	dropHeaders(header)
	header.Set(HeaderRequestID, a.id)
	header.Set(HeaderOutcome, string(result.Outcome))
	w.WriteHeader(answer.Status)
	// When writing fails the caller is gone, and nobody is left to tell.
	_, _ = w.Write(answer.Body)
	if answer.Rest == nil {
		return
	}
	defer answer.Rest.Close()
	if _, err := io.Copy(w, answer.Rest); err != nil {
		// The headers have said "completed", and a caller that got a short body must not believe them: the connection is broken off.
		panic(http.ErrAbortHandler)
	}
}
