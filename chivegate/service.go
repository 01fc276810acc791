package chivegate

import (
	"io"
	"maps"
	"net/http"

	"chivedrift/chivecaller"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
)

// routerHeaders are not forwarded: the caller's key, the router's own headers, and the length, which net/http sets
// anew.
var routerHeaders = []string{"Authorization", HeaderClass, HeaderTimeout, "Content-Length"}

// removeRouterHeaders removes the headers that are not forwarded.
func removeRouterHeaders(header http.Header) {
	chiveentry.DropConnectionFields(header)
	for _, name := range routerHeaders {
		header.Del(name)
	}
}

// serveService handles a request to a plain service.
func (g *Gate) serveService(w http.ResponseWriter, r *http.Request) {
	a, done, ok := g.begin(w, r)
	if !ok {
		return
	}
	defer done()
	request, err := g.newServiceRequest(a, r)
	if err != nil {
		g.refuse(w, r, a, err)
		return
	}
	claimClass := *request.Class
	claimClass.Repeatable = request.Repeatable
	claim, answered := g.claim(w, r, a, request.Pool, &claimClass)
	if answered {
		return
	}
	result, response := g.options.Services.Run(r.Context(), request)
	explanation := g.newExplanation(a, request.Pool, request.Class, result)
	explanation.FirstTokenMs = explanation.TookMs
	contentType := ""
	if response != nil {
		contentType = response.Header.Get("Content-Type")
		if response.Rest == nil && !response.EndsWithConnection {
			result.Body = response.Body
		} else {
			// Not kept for requests with the same key.
			contentType = ""
		}
	}
	g.recordEnd(explanation, request.Class, claim, result, contentType)
	g.writeResponse(w, r, a, result, response)
}

func (g *Gate) newServiceRequest(a *admittedRequest, r *http.Request) (*chivedispatch.ServiceWork, error) {
	name, path := servicePath(r.URL.EscapedPath())
	pool, err := a.findPool(name, chiveconfig.KindService, "service_not_found")
	if err != nil {
		return nil, err
	}
	class, err := requestClass(a.config, pool, r.Header)
	if err != nil {
		return nil, err
	}
	a.setDeadline(class)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	removeRouterHeaders(header)
	safeMethod := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	return &chivedispatch.ServiceWork{
		ID: a.id, Pool: pool.Name, Class: class, Team: a.team, Method: r.Method, Path: path, Header: header, Body: a.body, Content: a.fingerprint,
		Arrival: a.arrival, Deadline: a.deadline, Repeatable: safeMethod || class.Repeatable,
	}, nil
}

func (g *Gate) writeResponse(w http.ResponseWriter, r *http.Request, a *admittedRequest, result chivedispatch.Result, response *chivedispatch.ServiceAnswer) {
	if response == nil {
		failureFromResult(result).write(w, a.id)
		return
	}
	header := w.Header()
	forwarded := response.Header.Clone()
	removeRouterHeaders(forwarded)
	maps.Copy(header, forwarded)
	header.Set(HeaderRequestID, a.id)
	header.Set(HeaderOutcome, string(result.Outcome))
	finish := func() {}
	if response.EndsWithConnection {
		finish = endWithConnection(w, r)
	}
	w.WriteHeader(response.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(response.Body)
	if response.Rest == nil {
		finish()
		return
	}
	defer response.Rest.Close()
	if _, err := io.Copy(w, response.Rest); err != nil {
		// The outcome "completed" has been sent in the header, but the body is truncated: the connection is aborted so
		// that the caller does not take the response for complete.
		panic(http.ErrAbortHandler)
	}
	finish()
}

// endWithConnection makes the response end with the connection, without a length or chunks. Until the returned function is called
// for a whole response, the end of the connection is a reset.
func endWithConnection(w http.ResponseWriter, r *http.Request) (finish func()) {
	w.Header().Set("Transfer-Encoding", "identity")
	conn := chivecaller.Of(r)
	if conn == nil {
		return func() {}
	}
	conn.ResetOnClose(true)
	return func() {
		if err := http.NewResponseController(w).Flush(); err == nil {
			conn.ResetOnClose(false)
		}
	}
}
