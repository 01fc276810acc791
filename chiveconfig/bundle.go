package chiveconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"chivedrift/chiveyaml"

	"github.com/goccy/go-yaml"
)

// Bundle is what operators publish as one document: the base and the overlay of each site, as the text they wrote.
type Bundle struct {
	Base     string
	Overlays []Overlay
}

// Overlay is the text of one site's overlay.
type Overlay struct {
	Site string
	Text string
}

// BaseFile is the name of the base file in a configuration folder.
const BaseFile = "base.yaml"

const overlaySuffix = ".yaml"

// ReadBundle reads base.yaml and every other .yaml file, an overlay named after its site, from a folder.
func ReadBundle(folder string) (Bundle, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*"+overlaySuffix))
	if err != nil {
		return Bundle{}, fmt.Errorf("configuration: %w", err)
	}
	sort.Strings(files)
	bundle := Bundle{}
	found := false
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return Bundle{}, fmt.Errorf("configuration: %w", err)
		}
		name := filepath.Base(file)
		if name == BaseFile {
			bundle.Base = string(text)
			found = true
			continue
		}
		bundle.Overlays = append(bundle.Overlays, Overlay{Site: strings.TrimSuffix(name, overlaySuffix), Text: string(text)})
	}
	if !found {
		return Bundle{}, fmt.Errorf("configuration: %s: no %s in this folder", folder, BaseFile)
	}
	return bundle, nil
}

// Hash returns the SHA-256 of the bundle's content in hexadecimal; operators compare it across nodes.
func (b Bundle) Hash() string {
	digest := sha256.New()
	write := func(text string) {
		fmt.Fprintf(digest, "%d:", len(text))
		digest.Write([]byte(text))
	}
	write(b.Base)
	for _, overlay := range b.Overlays {
		write(overlay.Site)
		write(overlay.Text)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Sites lists the sites that have an overlay.
func (b Bundle) Sites() []string {
	sites := make([]string, 0, len(b.Overlays))
	for _, overlay := range b.Overlays {
		sites = append(sites, overlay.Site)
	}
	return sites
}

// Check returns every problem of every site's effective configuration, or nil.
func (b Bundle) Check() error {
	var problems chiveyaml.FieldErrors
	seen := make(map[string]bool)
	for _, site := range b.Sites() {
		_, err := b.Effective(site)
		if err == nil {
			continue
		}
		var found chiveyaml.FieldErrors
		if !errors.As(err, &found) {
			return err
		}
		for _, problem := range found {
			if !seen[problem.String()] {
				problems = append(problems, problem)
			}
			seen[problem.String()] = true
		}
	}
	if len(b.Overlays) == 0 {
		return fmt.Errorf("configuration: no overlay; expected one file a site beside %s", BaseFile)
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// Effective merges a site's overlay into the base, checks the result and returns it.
func (b Bundle) Effective(site string) (*Config, error) {
	overlay, ok := b.overlay(site)
	if !ok {
		return nil, fmt.Errorf("configuration: no overlay for site %q; expected one of %s", site, strings.Join(b.Sites(), ", "))
	}
	base, err := chiveyaml.Parse[Config](BaseFile, []byte(b.Base))
	over, overErr := chiveyaml.Parse[Config](site+overlaySuffix, []byte(overlay))
	if err != nil || overErr != nil {
		return nil, joinProblems(err, overErr)
	}
	merged, err := mergeDocuments(base, over)
	if err != nil {
		return nil, err
	}
	merged.setDefaults()
	if problems := check(merged, base, over); len(problems) > 0 {
		return nil, problems
	}
	return merged, nil
}

func (b Bundle) overlay(site string) (string, bool) {
	for _, overlay := range b.Overlays {
		if overlay.Site == site {
			return overlay.Text, true
		}
	}
	return "", false
}

func joinProblems(failures ...error) error {
	var problems chiveyaml.FieldErrors
	for _, err := range failures {
		var found chiveyaml.FieldErrors
		if errors.As(err, &found) {
			problems = append(problems, found...)
		} else if err != nil {
			return err
		}
	}
	return problems
}

func mergeDocuments(base, over *chiveyaml.Document) (*Config, error) {
	under, err := base.Generic()
	if err != nil {
		return nil, err
	}
	above, err := over.Generic()
	if err != nil {
		return nil, err
	}
	text, err := yaml.Marshal(mergeMaps(under, above))
	if err != nil {
		return nil, fmt.Errorf("configuration: merge: %w", err)
	}
	merged := new(Config)
	if err := yaml.Unmarshal(text, merged); err != nil {
		return nil, fmt.Errorf("configuration: merge: %w", err)
	}
	return merged, nil
}
