package jobfile

import (
	"crypto/md5"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/hashicorp/hcl/v2/ext/tryfunc"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// supportedFunctions holds the published functions whose result depends on their arguments only.
// Functions that read files, the clock or random numbers are missing: the same file must give the same
// job wherever it is read.
var supportedFunctions = map[string]function.Function{
	"abs": stdlib.AbsoluteFunc, "ceil": stdlib.CeilFunc, "floor": stdlib.FloorFunc, "log": stdlib.LogFunc,
	"max": stdlib.MaxFunc, "min": stdlib.MinFunc, "parseint": stdlib.ParseIntFunc, "pow": stdlib.PowFunc, "signum": stdlib.SignumFunc,

	"chomp": stdlib.ChompFunc, "format": stdlib.FormatFunc, "formatlist": stdlib.FormatListFunc, "indent": stdlib.IndentFunc,
	"join": stdlib.JoinFunc, "lower": stdlib.LowerFunc, "regex": stdlib.RegexFunc, "regexall": stdlib.RegexAllFunc,
	"replace": stdlib.ReplaceFunc, "regex_replace": stdlib.RegexReplaceFunc, "split": stdlib.SplitFunc,
	"strlen": stdlib.StrlenFunc, "strrev": stdlib.ReverseFunc, "substr": stdlib.SubstrFunc, "title": stdlib.TitleFunc,
	"trim": stdlib.TrimFunc, "trimprefix": stdlib.TrimPrefixFunc, "trimspace": stdlib.TrimSpaceFunc,
	"trimsuffix": stdlib.TrimSuffixFunc, "upper": stdlib.UpperFunc,

	"chunklist": stdlib.ChunklistFunc, "coalesce": stdlib.CoalesceFunc, "coalescelist": stdlib.CoalesceListFunc,
	"compact": stdlib.CompactFunc, "concat": stdlib.ConcatFunc, "contains": stdlib.ContainsFunc, "distinct": stdlib.DistinctFunc,
	"element": stdlib.ElementFunc, "flatten": stdlib.FlattenFunc, "index": stdlib.IndexFunc, "keys": stdlib.KeysFunc,
	"length": stdlib.LengthFunc, "lookup": stdlib.LookupFunc, "merge": stdlib.MergeFunc, "range": stdlib.RangeFunc,
	"reverse": stdlib.ReverseListFunc, "setintersection": stdlib.SetIntersectionFunc, "setproduct": stdlib.SetProductFunc,
	"setsubtract": stdlib.SetSubtractFunc, "setunion": stdlib.SetUnionFunc, "slice": stdlib.SliceFunc, "sort": stdlib.SortFunc,
	"values": stdlib.ValuesFunc, "zipmap": stdlib.ZipmapFunc,

	"csvdecode": stdlib.CSVDecodeFunc, "jsondecode": stdlib.JSONDecodeFunc, "jsonencode": stdlib.JSONEncodeFunc,
	"formatdate": stdlib.FormatDateFunc, "timeadd": stdlib.TimeAddFunc, "convert": typeexpr.ConvertFunc,
	"can": tryfunc.CanFunc, "try": tryfunc.TryFunc,

	"base64encode": stringFunc(func(s string) (string, error) { return base64.StdEncoding.EncodeToString([]byte(s)), nil }),
	"base64decode": stringFunc(func(s string) (string, error) {
		b, err := base64.StdEncoding.DecodeString(s)
		return string(b), err
	}),
	"urlencode": stringFunc(func(s string) (string, error) { return url.QueryEscape(s), nil }),
	"md5":       stringFunc(func(s string) (string, error) { h := md5.Sum([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha1":      stringFunc(func(s string) (string, error) { h := sha1.Sum([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha256":    stringFunc(func(s string) (string, error) { h := sha256.Sum256([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha512":    stringFunc(func(s string) (string, error) { h := sha512.Sum512([]byte(s)); return hex.EncodeToString(h[:]), nil }),
}

// unsupportedFunctions holds the published functions that are not supported, and the reason.
var unsupportedFunctions = map[string]string{
	"file": "reads files", "fileexists": "reads files", "fileset": "reads files", "filebase64": "reads files", "filemd5": "reads files",
	"abspath": "depends on the machine", "basename": "depends on the machine", "dirname": "depends on the machine", "pathexpand": "depends on the machine",
	"timestamp": "gives another result each time", "uuidv4": "gives another result each time", "bcrypt": "gives another result each time",
	"uuidv5": "is not served", "rsadecrypt": "is not served", "yamldecode": "is not served", "yamlencode": "is not served",
	"cidrhost": "is not served", "cidrnetmask": "is not served", "cidrsubnet": "is not served", "cidrsubnets": "is not served",
	"env": "depends on the machine", "consul_key": "queries a server", "vault": "queries a server",
}

// stringFunc returns an HCL function of one string.
func stringFunc(f func(string) (string, error)) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "str", Type: cty.String}},
		Type:   function.StaticReturnType(cty.String),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			s, err := f(args[0].AsString())
			return cty.StringVal(s), err
		},
	})
}

// meteredFunctions returns the supported functions, charged to a budget, and for each unsupported
// one a function that returns the reason as an error.
func meteredFunctions(b *budget) map[string]function.Function {
	out := make(map[string]function.Function, len(supportedFunctions))
	for name, f := range supportedFunctions {
		if name == "can" || name == "try" || name == "convert" {
			out[name] = f // takes expressions, which are metered already
			continue
		}
		out[name] = function.New(&function.Spec{
			Params: f.Params(), VarParam: f.VarParam(),
			Type: func(args []cty.Value) (cty.Type, error) {
				if err := b.chargeCall(name, args); err != nil {
					return cty.DynamicPseudoType, err
				}
				return f.ReturnTypeForValues(args)
			},
			Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
				v, err := f.Call(args)
				if err == nil && !b.charge(v) {
					return cty.DynamicVal, errBudgetExceeded
				}
				return v, err
			},
		})
	}
	for name, why := range unsupportedFunctions {
		out[name] = function.New(&function.Spec{
			VarParam: &function.Parameter{Name: "args", Type: cty.DynamicPseudoType, AllowNull: true, AllowDynamicType: true},
			Type: func([]cty.Value) (cty.Type, error) {
				return cty.DynamicPseudoType, fmt.Errorf("%s %s: it is not served, since a file has to become the same job wherever it is read", name, why)
			},
		})
	}
	return out
}

// wideVerb matches a format verb with a width or precision of four digits or more.
var wideVerb = regexp.MustCompile(`%[^a-zA-Z%]*[0-9]{4}`)

// chargeCall charges the arguments of a function call. If the result may be far larger than the
// arguments, it also checks the estimated size against the budget before the call.
func (b *budget) chargeCall(name string, args []cty.Value) error {
	strs, numbers := []string{}, []float64{}
	for _, a := range args {
		if !b.charge(a) {
			return errBudgetExceeded
		}
		if !a.IsKnown() || a.IsNull() {
			continue
		}
		switch a.Type() {
		case cty.String:
			strs = append(strs, a.AsString())
		case cty.Number:
			f, _ := a.AsBigFloat().Float64()
			numbers = append(numbers, f)
		}
	}
	resultSize := 0.0
	switch {
	case (name == "format" || name == "formatlist") && len(strs) > 0 && wideVerb.MatchString(strs[0]):
		return fmt.Errorf("a width above 999 is not served")
	case name == "indent" && len(numbers) > 0 && len(strs) > 0:
		resultSize = numbers[0] * float64(strings.Count(strs[len(strs)-1], "\n")+1)
	case (name == "replace" || name == "regex_replace") && len(strs) == 3:
		resultSize = float64(len(strs[0])+1) * float64(len(strs[2]))
	case name == "join" && len(strs) > 0:
		n := 0
		for _, a := range args[1:] {
			if a.IsKnown() && !a.IsNull() && a.CanIterateElements() {
				n += a.LengthInt()
			}
		}
		resultSize = float64(n) * float64(len(strs[0]))
	case name == "setproduct" || name == "formatlist":
		resultSize = 1
		for _, a := range args {
			if a.IsKnown() && !a.IsNull() && a.CanIterateElements() {
				resultSize *= float64(a.LengthInt())
			}
		}
		resultSize *= 16
	case name == "regex" || name == "regexall":
		// The work for each character of the text is proportional to the pattern's length.
		if len(strs) == 2 {
			resultSize = float64(len(strs[0])) * float64(len(strs[1])) / 64
		}
	}
	if resultSize < 0 || resultSize > float64(b.bytes) {
		return errBudgetExceeded
	}
	return nil
}
