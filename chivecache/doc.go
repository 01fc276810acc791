// Package chivecache asks engines which prompt parts they hold when a node begins to decide for them: a node that has just started, or
// that takes over engines from another one, else sends prompts to engines that have to read again what others hold.
package chivecache
