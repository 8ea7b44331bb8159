package core

// OrDefault sets a setting of zero value to its default.
func OrDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
