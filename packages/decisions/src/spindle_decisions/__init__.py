"""Decision logic of damaskspindle; opens no sockets or files, reads no clock or random source."""
