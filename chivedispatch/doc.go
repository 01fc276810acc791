// Package chivedispatch sends the requests that the gateway accepted to the endpoints of the router's own
// configuration.
//
// Dispatcher runs model requests on slots that the scheduler grants. It relays the engine's stream to the caller and,
// if the stream breaks or stalls, resumes it on another engine after the last delivered token. Services runs requests
// to plain services on replicas that it chooses itself. Both make their attempts through chiveforward, limit retries by
// a budget per class, and report for each request whether it completed, failed, certainly did not run, or may have run.
package chivedispatch
