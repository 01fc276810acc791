// Package chivehealth detects whether the process of an endpoint failed, and describes the evidence for it.
//
// A broken connection alone is no evidence: responses are truncated, idle connections are reset and network paths fail
// while the endpoint continues to serve other requests. A Checker therefore sends the endpoint a health check on a new
// connection. Its result, together with how the original connection broke, is the evidence.
package chivehealth
