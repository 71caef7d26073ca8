/**
 * Value of `maxHeadersCount` of Node's servers and requests for no limit on the number of fields. With a limit, fields
 * beyond it are dropped without an error, so that a message would be acted on without a part of its head. The number of
 * fields stays limited by `maxHeaderSize`, beyond which a head is refused.
 */
export const ALL_FIELDS = 0;
