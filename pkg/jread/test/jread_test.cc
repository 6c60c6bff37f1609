#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "jread.h"
}

/* Run under AddressSanitizer by make check-asan. */
TEST(JRead, CutsAnErrorWhosePathFillsTheMessage)
{
	struct jread_errors errors;

	jread_errors_init(&errors);
	for (size_t n = JREAD_ERROR_BYTES - 5; n < JREAD_ERROR_BYTES + 5; n++) {
		std::string path(n, 'p');

		jread_errorf(&errors, path.c_str(), "cannot read: %s",
			     "No such file or directory");
	}
	jread_errorf(&errors, "next", "cause");
	ASSERT_EQ(errors.n, 11u);
	for (uint32_t i = 0; i < 10; i++) {
		std::string message = errors.message[i];

		EXPECT_EQ(message.size(), JREAD_ERROR_BYTES - 1u) << i;
		EXPECT_EQ(message.find_first_not_of("p: ca"), std::string::npos)
			<< message;
	}
	EXPECT_STREQ(errors.message[10], "next: cause");
	jread_errors_free(&errors);
}
