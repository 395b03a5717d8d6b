package kinds

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"foxtailcroft/internal/core/fault"
)

// namePattern matches the names of resources.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?$`)

// digestPattern matches what the rule "sha256" allows.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validate returns the validator of the validate tags, with the project's rule "resourcename" added.
var validate = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	err := v.RegisterValidation("resourcename", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	})
	if err != nil {
		panic(err)
	}
	return v
})

// Validate returns a *fault.InvalidFields with every invalid field of the resource, or nil if it is valid.
func Validate(r Resource) error {
	var list []fault.InvalidField
	if !namePattern.MatchString(r.Name) {
		list = append(list, fault.InvalidField{Path: "Name", Value: r.Name, Rule: "must be 1 to 100 lower-case letters, digits, dots or dashes"})
	}
	list = append(list, ValidateStruct("Spec", r.Spec())...)
	if r.Kind == Account {
		list = append(list, repeatedKeys(r.Account.Keys)...)
	}
	if len(list) == 0 {
		return nil
	}
	return &fault.InvalidFields{List: list}
}

// ValidateStruct validates a struct by its validate tags and returns the invalid
// fields. Their paths begin with prefix unless it is empty.
func ValidateStruct(prefix string, v any) []fault.InvalidField {
	err := validate().Struct(v)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return []fault.InvalidField{{Path: prefix, Value: "", Rule: err.Error()}}
	}
	var list []fault.InvalidField
	for _, b := range violations {
		_, path, _ := strings.Cut(b.StructNamespace(), ".")
		if prefix != "" {
			path = prefix + "." + path
		}
		list = append(list, fault.InvalidField{Path: path, Value: violatingValue(b), Rule: ruleText(b)})
	}
	return list
}

// repeatedKeys returns the fields of digests that are listed earlier in the same list. Texts that are no
// digests break another rule, and may be keys, which messages must not show.
func repeatedKeys(keys []string) []fault.InvalidField {
	var list []fault.InvalidField
	for i, key := range keys {
		if first := slices.Index(keys, key); first < i && digestPattern.MatchString(key) {
			list = append(list, fault.InvalidField{Path: keyPath(i), Value: shortDigest(key), Rule: "is the same as " + keyPath(first)})
		}
	}
	return list
}

// CheckKeyHolders returns a *fault.InvalidFields if an account has a digest that another account
// holds; holders gives the name of the holder of each digest.
func CheckKeyHolders(r Resource, holders map[string]string) error {
	var list []fault.InvalidField
	for i, key := range r.Account.Keys {
		if other, ok := holders[key]; ok {
			list = append(list, fault.InvalidField{Path: keyPath(i), Value: shortDigest(key), Rule: fmt.Sprintf("is also a key of Account %q", other)})
		}
	}
	if len(list) == 0 {
		return nil
	}
	return &fault.InvalidFields{List: list}
}

// keyPath returns the path of a digest in the resource of an account.
func keyPath(i int) string {
	return fmt.Sprintf("Spec.Keys[%d]", i)
}

// shortDigestLength is the number of digits that identify a digest in an error message.
const shortDigestLength = 8

// shortDigest returns the first digits of a digest, by which messages name it.
func shortDigest(digest string) string {
	return digest[:min(shortDigestLength, len(digest))] + "..."
}

// violatingValue formats the invalid value; it returns "" for structs and pointers,
// which have no short form. It states only the length of a text that is no digest,
// because that may be the key itself.
func violatingValue(b validator.FieldError) string {
	if b.Tag() == "sha256" {
		return fmt.Sprintf("(%d characters)", len(b.Value().(string)))
	}
	if b.Kind() == reflect.Pointer || b.Kind() == reflect.Struct {
		return ""
	}
	return fmt.Sprint(b.Value())
}

// ruleText describes the violated validate tag.
func ruleText(b validator.FieldError) string {
	ruleTexts := map[string]string{
		"required": "is required", "gt": "must be greater than " + b.Param(), "gte": "must be at least " + b.Param(),
		"lte": "must be at most " + b.Param(), "max": "must be at most " + b.Param() + " long", "min": "must have at least " + b.Param(),
		"ltefield": "must not exceed " + b.Param(), "oneof": "must be one of " + b.Param(),
		"sha256":        "must be the SHA-256 digest of a key, 64 lower-case hexadecimal digits",
		"resourcename":  "must be 1 to 100 lower-case letters, digits, dots or dashes",
		"hostname_port": "must be host:port", "url": "must be a URL",
		"required_without": "is required where " + b.Param() + " is not set", "excluded_with": "must not be set together with " + b.Param(),
	}
	if text, ok := ruleTexts[b.Tag()]; ok {
		return text
	}
	return "breaks the rule " + b.Tag()
}
