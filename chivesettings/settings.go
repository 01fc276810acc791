package chivesettings

import (
	"fmt"
	"os"

	"chivedrift/chiveyaml"
)

// Settings tells a node its identity, its addresses by IP number, its place and the platform's addresses.
type Settings struct {
	Name          string   `yaml:"name" validate:"required,max=64"`
	Site          string   `yaml:"site" validate:"required"`
	Region        string   `yaml:"region" validate:"required"`
	FailureDomain string   `yaml:"failure_domain" validate:"required"`
	Listen        Listen   `yaml:"listen"`
	Platform      Platform `yaml:"platform"`
	Stop          Stop     `yaml:"stop"`
	// MemoryMB is what the process may use, in megabytes. Without it, that is the runtime's limit or the machine's memory.
	MemoryMB int64 `yaml:"memory_mb" validate:"omitempty,min=32,max=1048576"`
	// MaxDescriptors is the number of descriptors that the process may have. Without it, that is the system's limit.
	MaxDescriptors int64 `yaml:"max_descriptors" validate:"omitempty,min=256,max=1048576"`
}

// Listen holds the three addresses a node serves on.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,ipport"`
	Admin   string `yaml:"admin" validate:"required,ipport"`
	Peers   string `yaml:"peers" validate:"required,ipport"`
}

// Platform holds the addresses of the platform's services and how long its log keeps records; without that time nothing would
// re-append the configuration before the log forgets it, so it has no default.
type Platform struct {
	Log    string `yaml:"log" validate:"required,ipport"`
	VMList string `yaml:"vm_list" validate:"required,ipport"`

	LogRetentionS int64 `yaml:"log_retention_s" validate:"required,min=60,max=31536000"`
}

// Stop tells how a planned stop proceeds.
type Stop struct {
	BalancerReleaseMs int64 `yaml:"balancer_release_ms" validate:"min=0,max=600000"`
}

// Load reads, checks and returns the settings in a file; the error lists every problem with its line.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, data)
}

// Parse checks and returns the settings in data, which came from the named file.
func Parse(file string, data []byte) (Settings, error) {
	return parse[Settings](file, data)
}

func parse[T any](file string, data []byte) (T, error) {
	var none T
	document, settings, err := chiveyaml.Decode[T](file, data)
	if err != nil {
		return none, err
	}
	var problems chiveyaml.FieldErrors
	for _, v := range chiveyaml.Validate(settings) {
		problems = append(problems, document.Problem(v.Path, "%s", v.Message))
	}
	if len(problems) > 0 {
		return none, problems
	}
	return settings, nil
}
