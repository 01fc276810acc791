// Package chivestory puts the log lines of several processes together to the story of one request: what was decided, on
// what, and what the deciding process believed at that moment.
package chivestory
