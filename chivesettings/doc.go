// Package chivesettings reads the settings of one process: its addresses, its place and where the platform is.
package chivesettings
