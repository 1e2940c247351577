package target

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// OIDs (object identifiers) of the types that the stand-in supports.
const (
	oidBytea  = 17
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
)

// oidOf returns the OID for a column's declared type; unknown types are text.
func oidOf(declared string) uint32 {
	switch d := strings.ToUpper(declared); {
	case strings.Contains(d, "INT"):
		return oidInt8
	case strings.Contains(d, "REAL"), strings.Contains(d, "DOUBLE"), strings.Contains(d, "FLOAT"):
		return oidFloat8
	case strings.Contains(d, "BLOB"), strings.Contains(d, "BYTEA"):
		return oidBytea
	}
	return oidText
}

// oidAt returns the OID of parameter i, or 0 if it was not declared.
func oidAt(oids []uint32, i int) uint32 {
	if i < len(oids) {
		return oids[i]
	}
	return 0
}

// formatAt returns the format of value i, 0 for text or 1 for binary. As the
// protocol defines it, no format means text for all values, and a single one
// applies to all.
func formatAt(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return 0
}

// decodeValue decodes a parameter. The type of a binary parameter that was not
// declared is guessed from its length: 8 or 4 bytes are an integer.
func decodeValue(v []byte, format int16, oid uint32) (any, error) {
	if v == nil {
		return nil, nil
	}
	if format == 0 {
		return decodeText(string(v), oid), nil
	}
	switch {
	case oid == oidText || oid == 0 && len(v) != 8 && len(v) != 4:
		return string(v), nil
	case oid == oidFloat8 && len(v) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(v)), nil
	case len(v) == 8:
		return int64(binary.BigEndian.Uint64(v)), nil
	case len(v) == 4:
		return int64(int32(binary.BigEndian.Uint32(v))), nil
	case oid == oidBytea:
		return append([]byte(nil), v...), nil
	}
	return nil, &sqlError{"08P01", "binary parameter of an unknown type"}
}

func decodeText(v string, oid uint32) any {
	switch oid {
	case 20, 21, 23:
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			return n
		}
	case 700, oidFloat8, 1700:
		if f, err := strconv.ParseFloat(v, 64); err == nil {
			return f
		}
	}
	return v
}

// encodeValue encodes a value. Types without a binary encoding here are sent as
// text in either format.
func encodeValue(v any, oid uint32, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == 0 {
		return encodeText(v)
	}
	switch oid {
	case oidInt8:
		if n, ok := v.(int64); ok {
			return binary.BigEndian.AppendUint64(nil, uint64(n))
		}
	case oidFloat8:
		if f, ok := v.(float64); ok {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
		}
	}
	return encodeText(v)
}

func encodeText(v any) []byte {
	switch v := v.(type) {
	case int64:
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case string:
		return []byte(v)
	case []byte:
		return v
	case bool:
		return strconv.AppendBool(nil, v)
	}
	return fmt.Append(nil, v)
}
