import { rules } from '@thornsail/fog';

rules.test('storm'.split(','), [1, 2, 3]);
