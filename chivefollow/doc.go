// Package chivefollow brings the configuration into force on a node: it follows the log, asks peers while the log is down and re-appends checkpoints before retention takes the record.
package chivefollow
