package tanagersettings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// explain returns the error of a file that could not be decoded. The decoder
// names no line for durations and addresses, so these are looked at again.
func explain(err error, content []byte) error {
	file, parseErr := parser.ParseBytes(content, 0)
	if parseErr == nil {
		c := &checker{
			file: file,
		}
		c.unreadable("", reflect.TypeFor[Settings]())
		if len(c.problems) > 0 {
			return Malformed.New("%s", strings.Join(c.problems, "\n"))
		}
	}
	return Malformed.New("%s", yaml.FormatError(err, false, true))
}

// unreadable adds the durations and addresses below a key that can't be read.
func (c *checker) unreadable(key string, t reflect.Type) {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		if text, ok := c.text(key); ok {
			if _, err := time.ParseDuration(text); err != nil {
				c.add(key, fmt.Sprintf("is %q, must be a duration with a unit, as in 250ms", text))
			}
		}
	case t == reflect.TypeFor[netip.AddrPort]():
		if text, ok := c.text(key); ok {
			if _, err := netip.ParseAddrPort(text); err != nil {
				c.add(key, fmt.Sprintf("is %q, must be an IP number with a port, as in 10.0.0.1:7000", text))
			}
		}
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			name := t.Field(i).Tag.Get("yaml")
			c.unreadable(strings.TrimPrefix(key+"."+name, "."), t.Field(i).Type)
		}
	}
}

// text returns the text of a key that the file has.
func (c *checker) text(key string) (string, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return "", false
	}
	node, err := path.FilterFile(c.file)
	if err != nil {
		return "", false
	}
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		return "", false
	}
	return fmt.Sprint(scalar.GetValue()), true
}
