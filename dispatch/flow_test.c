#include <CUnit/Basic.h>

#include "dispatch/flow.h"

static void
test_sender_stops_at_the_window(void)
{
    struct rs_flow_sender sender = {.window_bytes = 100};
    CU_ASSERT_EQUAL(RsFlow_Send(&sender, 60), 0);
    CU_ASSERT_EQUAL(RsFlow_SendableBytes(&sender), 40);
    CU_ASSERT_EQUAL(RsFlow_Send(&sender, 41), RsFlow_OVERRUN);
    CU_ASSERT_EQUAL(RsFlow_Send(&sender, 40), 0);
    CU_ASSERT_EQUAL(RsFlow_AddCredit(&sender, 30), 0);
    CU_ASSERT_EQUAL(RsFlow_SendableBytes(&sender), 30);
    CU_ASSERT_EQUAL(RsFlow_AddCredit(&sender, 71), RsFlow_BAD_CREDIT);
}

static void
test_receiver_credits_consumed_bytes(void)
{
    struct rs_flow_receiver receiver = {.window_bytes = 100};
    uint32_t credit_bytes;
    CU_ASSERT_EQUAL(RsFlow_Receive(&receiver, 100), 0);
    CU_ASSERT_EQUAL(RsFlow_Receive(&receiver, 1), RsFlow_OVERRUN);
    CU_ASSERT_EQUAL(RsFlow_Consume(&receiver, 24, &credit_bytes), 0);
    CU_ASSERT_EQUAL(credit_bytes, 0);
    CU_ASSERT_EQUAL(RsFlow_Consume(&receiver, 1, &credit_bytes), 0);
    CU_ASSERT_EQUAL(credit_bytes, 25);
    CU_ASSERT_EQUAL(RsFlow_Receive(&receiver, 26), RsFlow_OVERRUN);
    CU_ASSERT_EQUAL(RsFlow_Receive(&receiver, 25), 0);
    CU_ASSERT_EQUAL(RsFlow_Consume(&receiver, 101, &credit_bytes),
                    RsFlow_BAD_CREDIT);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("flow", NULL, NULL);
    CU_ADD_TEST(suite, test_sender_stops_at_the_window);
    CU_ADD_TEST(suite, test_receiver_credits_consumed_bytes);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
