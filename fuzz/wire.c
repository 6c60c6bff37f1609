#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

/* Seals the bytes anew, so that what stands behind the seal is reached too. */
static void open_sealed(const uint8_t *data, size_t n)
{
	static const uint8_t secret[WIRE_SECRET_BYTES];
	crypto_auth_hmacsha256_state st;
	uint8_t *bytes = malloc(n + FIG_MAC_BYTES);
	struct wire_opened o;

	if (!bytes)
		return;
	memcpy(bytes, data, n);
	crypto_auth_hmacsha256_init(&st, secret, sizeof(secret));
	crypto_auth_hmacsha256_update(&st, bytes, n);
	crypto_auth_hmacsha256_final(&st, bytes + n);
	if (wire_open(secret, bytes, n + FIG_MAC_BYTES, &o) == 0)
		wire_open_finish(&o);
	free(bytes);
}

/* Opens bytes as a message, as they are and with a seal that is right. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	static const uint8_t secret[WIRE_SECRET_BYTES];
	struct wire_opened o;

	if (wire_open(secret, data, n, &o) == 0)
		wire_open_finish(&o);
	open_sealed(data, n);
	return 0;
}
