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

// decodeError returns the error for a file that cannot be decoded. The decoder's
// error has no line for durations and addresses, so these are parsed again.
func decodeError(err error, content []byte) error {
	file, parseErr := parser.ParseBytes(content, 0)
	if parseErr == nil {
		v := &validator{
			file: file,
		}
		v.checkSyntax("", reflect.TypeFor[Settings]())
		if len(v.problems) > 0 {
			return Malformed.New("%s", strings.Join(v.problems, "\n"))
		}
	}
	return Malformed.New("%s", yaml.FormatError(err, false, true))
}

// checkSyntax adds a problem for each duration and address below a key that
// cannot be parsed. t is the type of the key's value.
func (v *validator) checkSyntax(key string, t reflect.Type) {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		if text, ok := v.scalarText(key); ok {
			if _, err := time.ParseDuration(text); err != nil {
				v.addProblem(key, fmt.Sprintf("is %q, must be a duration with a unit, as in 250ms", text))
			}
		}
	case t == reflect.TypeFor[netip.AddrPort]():
		if text, ok := v.scalarText(key); ok {
			if _, err := netip.ParseAddrPort(text); err != nil {
				v.addProblem(key, fmt.Sprintf("is %q, must be an IP address with a port, as in 10.0.0.1:7000", text))
			}
		}
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			name := t.Field(i).Tag.Get("yaml")
			v.checkSyntax(strings.TrimPrefix(key+"."+name, "."), t.Field(i).Type)
		}
	}
}

// scalarText returns the text of a key's value. It returns false if the key is
// missing or its value is not a scalar.
func (v *validator) scalarText(key string) (string, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return "", false
	}
	node, err := path.FilterFile(v.file)
	if err != nil {
		return "", false
	}
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		return "", false
	}
	return fmt.Sprint(scalar.GetValue()), true
}
