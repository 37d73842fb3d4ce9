package main

import (
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"
)

var errorNamespace = errorx.NewNamespace("tanagerctl")

// Error types of the program.
var (
	invalidAddress     = errorNamespace.NewType("bad_address")
	invalidFile        = errorNamespace.NewType("bad_file")
	writeFailed        = errorNamespace.NewType("not_written")
	verificationFailed = errorNamespace.NewType("wrong")
)

// parseAddresses parses a comma-separated list of IP addresses with ports.
func parseAddresses(text string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, invalidAddress.Wrap(err, "%q is not an IP address with a port", part)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

// readYAML decodes a YAML file into v and rejects unknown keys.
func readYAML(path string, v any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return invalidFile.Wrap(err, "%s", path)
	}
	if err := yaml.UnmarshalWithOptions(content, v, yaml.Strict()); err != nil {
		return invalidFile.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return nil
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return writeFailed.Wrap(err, "output")
	}
	return nil
}

// writeFile creates or truncates a file and writes its content with write.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return writeFailed.Wrap(err, "%s", path)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return writeFailed.Wrap(err, "%s", path)
	}
	return nil
}
