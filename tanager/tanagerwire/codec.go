package tanagerwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerwire")

// Malformed is the type of error that Decode returns.
var Malformed = Errors.NewType("malformed")

// maxElements bounds arrays and maps in one message, against corrupt input.
const maxElements = 1 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns the deterministic encoding: equal values have equal bytes.
// Times keep their nanoseconds; the library's default cuts them to seconds.
func newEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of v; equal values have equal bytes. It panics if v holds a type that CBOR
// cannot represent, which is a programming error.
func Encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode parses the CBOR form of a message into v. It returns an error of type
// Malformed if the payload is not valid CBOR or does not fit v.
func Decode(payload []byte, v any) error {
	if err := decoder.Unmarshal(payload, v); err != nil {
		return Malformed.Wrap(err, "decode %T", v)
	}
	return nil
}
