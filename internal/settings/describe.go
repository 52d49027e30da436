package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// fieldName makes the validator report fields by their names in the settings file.
func fieldName(field reflect.StructField) string { return field.Tag.Get("koanf") }

// describe returns a message with the field's path, its value and the values allowed.
func describe(fault validator.FieldError) string {
	_, path, _ := strings.Cut(fault.Namespace(), ".")
	value := fmt.Sprintf("%v", fault.Value())
	switch fault.Tag() {
	case "required":
		return path + ": must be given"
	case "address":
		return fmt.Sprintf("%s: %q must be an IP address and a port, such as 192.0.2.1:7000", path, value)
	case "required_with_fabric":
		return path + ": must be given if data.fabric is set"
	case "ip_url":
		return fmt.Sprintf("%s: %q must be an http or https URL whose host is an IP address", path, value)
	case "oneof":
		return fmt.Sprintf("%s: %q must be one of: %s", path, value, strings.ReplaceAll(fault.Param(), " ", ", "))
	case "min":
		return fmt.Sprintf("%s: %s must be at least %s", path, value, fault.Param())
	case "max":
		return fmt.Sprintf("%s: %q must be at most %s", path, value, fault.Param())
	}
	return fmt.Sprintf("%s: %q fails the check %s %s", path, value, fault.Tag(), fault.Param())
}
