package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"tamarindshore/internal/config"
)

type check struct {
	Files []string `arg:"" help:"Files to check, each whole."`
}

// Run checks each file and says what it found; all are looked at before it fails.
func (c check) Run() error {
	faulty := 0
	for _, path := range c.Files {
		what, err := look(path)
		if err != nil {
			faulty++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: %s\n", path, what)
	}
	if faulty > 0 {
		return fmt.Errorf("%d of %d files are faulty", faulty, len(c.Files))
	}
	return nil
}

func look(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	switch first := bytes.TrimLeft(text, " \t\r\n"); {
	case len(first) == 0:
		return "", fmt.Errorf("%s: %w", path, errors.New("is empty"))
	case first[0] == '{':
		s, err := config.Read(func(key string) string {
			return map[string]string{"PROXY_CONFIG": path}[key]
		})
		if err != nil {
			return "", fmt.Errorf("%s: %v", path, err)
		}
		return fmt.Sprintf("a start: %d zones, %d traffic groups, up to %d proxies", len(s.Balancer.Zones), len(s.ClassNames), s.Balancer.Proxies), nil
	}
	o, err := config.ParseOperatorSettings(path, text)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("operator's settings: %d cores, log %s as %s", o.Shards, o.LogLevel, o.LogFormat), nil
}
