package tanagerwire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerwire")

// Malformed is the type of error that Decode returns.
var Malformed = Errors.NewType("malformed")

// Unencodable is the type of error that Marshal returns.
var Unencodable = Errors.NewType("unencodable")

// maxElements bounds the length of an array or a map, to limit the memory that
// corrupt input can allocate.
const maxElements = 1 << 20

var (
	encMode  = newEncMode()
	standard = NewDecoder(maxElements)
)

// newEncMode returns the deterministic encoding: equal values have equal bytes.
// Times keep their nanoseconds; the library's default truncates them to seconds.
func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode(elements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: elements,
		MaxMapPairs:      elements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the CBOR encoding of v. Equal values have equal encodings. It
// returns an error of type Unencodable if v contains a type that CBOR cannot
// represent, or a time whose year is not from 0 to 9999.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, Unencodable.Wrap(err, "encode %T", v)
	}
	return b, nil
}

// Encode is like Marshal for values that can certainly be encoded: all that Decode
// returns, and values without times that are computed from input. It panics
// otherwise.
func Encode(v any) []byte {
	b, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode parses a CBOR encoding into v. It returns an error of type Malformed if
// the payload is not valid CBOR, does not match the type of v, or contains a time
// that Marshal refuses: a number of seconds stands for a time as well.
func Decode(payload []byte, v any) error { return standard.Decode(payload, v) }

// Decoder decodes untrusted input, such as the bodies of callers, whose encoding
// can take hundreds of times its size when it is decoded. It is safe for
// concurrent use.
type Decoder struct {
	mode cbor.DecMode
}

// NewDecoder returns a decoder that rejects input with an array or a map of more
// than a number of elements, also in unknown fields. It panics if the number is not
// from 16 to math.MaxInt32.
func NewDecoder(elements int) *Decoder { return &Decoder{mode: newDecMode(elements)} }

// Decode is like the function Decode. It checks the lengths of arrays and maps
// before it allocates anything.
func (d *Decoder) Decode(payload []byte, v any) error {
	if err := d.mode.Unmarshal(payload, v); err != nil {
		return Malformed.Wrap(err, "decode %T", v)
	}
	if t, found := unencodableTime(reflect.ValueOf(v)); found {
		return Malformed.New("decode %T: year %d is not from 0 to %d", v, t.Year(), maxYear)
	}
	return nil
}
