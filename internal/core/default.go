package core

// OrDefault gives a setting its default where it is not set.
func OrDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
