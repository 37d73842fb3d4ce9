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

// ctlErrors is the namespace of the program's errors.
var ctlErrors = errorx.NewNamespace("tanagerctl")

// The types of error of the program.
var (
	badAddress = ctlErrors.NewType("bad_address")
	badFile    = ctlErrors.NewType("bad_file")
	notWritten = ctlErrors.NewType("not_written")
	wrong      = ctlErrors.NewType("wrong")
)

// parseAddresses reads addresses that are separated by commas.
func parseAddresses(text string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, badAddress.Wrap(err, "%q must be an IP number with a port", part)
		}
		list = append(list, a)
	}
	return list, nil
}

// readYAML reads a file of YAML; unknown keys are refused.
func readYAML(path string, v any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return badFile.Wrap(err, "%s", path)
	}
	if err := yaml.UnmarshalWithOptions(content, v, yaml.Strict()); err != nil {
		return badFile.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return nil
}

// printJSON prints the machine form of a result.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return notWritten.Wrap(err, "output")
	}
	return nil
}

// writeFile writes a file by f.
func writeFile(path string, f func(io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return notWritten.Wrap(err, "%s", path)
	}
	if err := f(out); err != nil {
		_ = out.Close()
		return err
	}
	if err := out.Close(); err != nil {
		return notWritten.Wrap(err, "%s", path)
	}
	return nil
}
