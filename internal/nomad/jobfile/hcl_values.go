package jobfile

import (
	"encoding/json"
	"math/big"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// unwrapMetered returns the expression in a metered one, and other expressions as they are.
func unwrapMetered(e hclsyntax.Expression) hclsyntax.Expression {
	if c, ok := e.(*meteredExpr); ok {
		return c.Expression
	}
	return e
}

// convertValue converts a value to an item's JSON form, and reports whether there is one.
func (w *hclDecoder) convertValue(it *item, v cty.Value, pos Pos, pointer string) (any, bool) {
	if !v.IsWhollyKnown() || v.IsNull() {
		return nil, false // the problem was added already, or the value is null
	}
	want := map[itemKind]cty.Type{
		kindString: cty.String, kindInt: cty.Number, kindBool: cty.Bool, kindStringList: cty.List(cty.String),
		kindDuration: cty.String, kindStringMap: cty.Map(cty.String),
	}
	ty, ok := want[it.kind]
	if !ok { // kindAnyMap
		m, ok := toJSONValue(v).(map[string]any)
		if !ok {
			w.addProblem(pos, "%s: want a map", it.hclName)
			return nil, false
		}
		for k := range m {
			w.file.positions[pointer+"/"+escapePointer(k)] = pos
		}
		return m, true
	}
	c, err := convert.Convert(v, ty)
	if err != nil {
		w.addProblem(pos, "%s: %v", it.hclName, err)
		return nil, false
	}
	if it.kind == kindDuration {
		ns, ok := parseDuration(c.AsString(), v.Type() == cty.Number)
		if !ok {
			w.addProblem(pos, "%s: want a duration such as \"30s\" or \"1h30m\", not %q", it.hclName, c.AsString())
			return nil, false
		}
		return ns, true
	}
	return toJSONValue(c), true
}

// parseDuration parses a duration with units, or a number of nanoseconds if bare is set. It returns
// nanoseconds, and reports whether the duration is valid.
func parseDuration(s string, bare bool) (json.Number, bool) {
	if bare {
		n, err := strconv.ParseInt(s, 10, 64)
		return json.Number(s), err == nil && n >= 0
	}
	d, err := time.ParseDuration(s)
	return json.Number(strconv.FormatInt(int64(d), 10)), err == nil && d >= 0
}

// toJSONValue converts a value to its JSON form; nil for null and unknown values.
func toJSONValue(v cty.Value) any {
	if !v.IsKnown() || v.IsNull() {
		return nil
	}
	switch ty := v.Type(); {
	case ty == cty.String:
		return v.AsString()
	case ty == cty.Bool:
		return v.True()
	case ty == cty.Number:
		return decimalNumber(v.AsBigFloat())
	case ty.IsObjectType() || ty.IsMapType():
		m := map[string]any{}
		for it := v.ElementIterator(); it.Next(); {
			k, e := it.Element()
			if p := toJSONValue(e); p != nil {
				m[k.AsString()] = p
			}
		}
		return m
	case ty.IsTupleType() || ty.IsListType() || ty.IsSetType():
		list := []any{}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			list = append(list, toJSONValue(e))
		}
		return list
	}
	return nil
}

// decimalNumber formats a number in decimal; a large or fractional one may have an exponent.
func decimalNumber(f *big.Float) json.Number {
	if f.IsInt() && f.MantExp(nil) < 64 {
		return json.Number(f.Text('f', 0))
	}
	return json.Number(f.Text('g', 17))
}

// scalarToString converts a string, number or boolean to a string, and reports whether v is one.
func scalarToString(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// blockContent is the input and output of a normalize function, which converts the HCL shorthands of a
// block.
type blockContent struct {
	attributes hclsyntax.Attributes
	ctx        *hcl.EvalContext
	out        map[string]any
	pointer    string
	consumed   map[string]bool // attributes that were converted
}

// normalizeConstraint converts the shorthands of a constraint, such as distinct_hosts = true.
func normalizeConstraint(w *hclDecoder, f *blockContent) {
	f.consumed = map[string]bool{}
	for _, a := range sortedAttributes(f.attributes) {
		switch a.Name {
		case "distinct_hosts", "distinct_property", "is_set", "is_not_set", "regexp", "set_contains", "set_contains_all", "set_contains_any", "semver", "version":
		default:
			continue
		}
		f.consumed[a.Name] = true
		pos := posOf(a.NameRange)
		w.file.positions[f.pointer+"/Operand"] = pos
		v, err := convert.Convert(w.eval(a.Expr, f.ctx), cty.String)
		if err != nil || !v.IsKnown() || v.IsNull() {
			w.addProblem(pos, "%s: want a text", a.Name)
			continue
		}
		if f.out["Operand"] != nil {
			w.addProblem(pos, "%s: a constraint has one operator", a.Name)
		}
		f.out["Operand"] = a.Name
		switch a.Name {
		case "distinct_hosts", "is_set", "is_not_set":
		case "distinct_property":
			f.out["LTarget"] = v.AsString()
		default:
			f.out["RTarget"] = v.AsString()
		}
	}
}
