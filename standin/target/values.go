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

// oidOf returns the OID of a column's declared type, or oidText if the type is
// unknown.
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

// formatAt returns the format of value i: 0 for text or 1 for binary. As the
// protocol defines, an empty list means text for all values, and a single format
// applies to all values.
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

// decodeValue decodes a parameter. A binary parameter with 8 or 4 bytes is decoded
// as an integer, unless it is declared as text or as an 8-byte float. If its type is
// not declared, a binary parameter of another length is decoded as text.
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

// decodeText converts a parameter in text format to an integer or a float if it is
// declared as an integer (OIDs 20, 21, 23), a float (700, 701) or numeric (1700).
// All other values, and those that can't be parsed, stay text.
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

// encodeValue encodes a column's value. In the binary format, only values of types
// int8 and float8 are encoded as binary, and all others as text.
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
